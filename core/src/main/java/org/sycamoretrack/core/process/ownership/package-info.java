/** Which node of the deployment is alive, and which one takes over what a dead one held. */
package org.sycamoretrack.core.process.ownership;
