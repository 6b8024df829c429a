/**
 * The state of connections to endpoints: statistics, ejection, slots in use and endpoint selection.
 */
package org.sycamoretrack.core.connection;
