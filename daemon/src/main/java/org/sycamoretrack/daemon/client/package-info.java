/**
 * Clients for the external services that a node calls: interfaces and their HTTP implementations.
 *
 * <p>Other packages depend on the interfaces only, so that support for another protocol replaces
 * one class. Every failure is a {@link org.sycamoretrack.core.process.SycamoreException} whose
 * outcome says whether the call may have taken effect.
 */
package org.sycamoretrack.daemon.client;
