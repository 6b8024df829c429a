/**
 * The configuration in force and its propagation between nodes, and the rollout of model weights.
 */
package org.sycamoretrack.daemon.version;
