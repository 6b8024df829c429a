/** Failure detection of nodes, and the choice of the node that takes over from a dead one. */
package org.sycamoretrack.core.process.ownership;
