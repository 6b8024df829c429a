/** What lives as long as a version of a model's weights. */
package org.sycamoretrack.standins.version;
