/** Which endpoints serve which model, and in which order they are moved to new weights. */
package org.sycamoretrack.core.version.weights;
