/**
 * Start, stop and process-wide services of a node: control thread, membership, leases, settings,
 * logs and metrics.
 */
package org.sycamoretrack.daemon.process;
