/** The assignment of endpoints to models, and the order in which endpoints load new weights. */
package org.sycamoretrack.core.version.weights;
