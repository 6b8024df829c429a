/**
 * The systems that a node calls: an interface for each, with its implementation over HTTP.
 *
 * <p>Decisions use the interfaces alone, so that an adapter to another protocol replaces one class.
 * Every failure is a {@link org.sycamoretrack.core.process.SycamoreException} whose outcome says
 * whether the call may have taken effect.
 */
package org.sycamoretrack.daemon.farend;
