/** A node's view of its deployment, which it watches in the platform's store. */
package org.sycamoretrack.daemon.version.deployment;
