/** Prefix cache of an engine and HTTP exchanges with injected faults. */
package org.sycamoretrack.standins.connection;
