/**
 * What lives as long as a connection to an endpoint or peer: its statistics, backoff and selection.
 */
package org.sycamoretrack.core.connection;
