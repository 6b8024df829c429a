/** The orders that move endpoints to new versions of the weights. */
package org.sycamoretrack.daemon.version.weights;
