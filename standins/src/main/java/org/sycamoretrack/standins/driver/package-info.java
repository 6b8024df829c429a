/**
 * Trainers and callers that generate load on the nodes, and the launcher of complete deployments.
 */
package org.sycamoretrack.standins.driver;
