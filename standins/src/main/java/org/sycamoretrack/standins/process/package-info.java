/** What lives as long as the process. */
package org.sycamoretrack.standins.process;
