/** Plans and sends the orders that make endpoints load new versions of model weights. */
package org.sycamoretrack.daemon.version.weights;
