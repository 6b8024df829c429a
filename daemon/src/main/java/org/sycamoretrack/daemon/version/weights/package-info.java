/** Plans loads of new versions of model weights and commands endpoints to execute them. */
package org.sycamoretrack.daemon.version.weights;
