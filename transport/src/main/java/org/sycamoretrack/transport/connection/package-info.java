/** The HTTP client and server, built on Netty, and the state of their connections. */
package org.sycamoretrack.transport.connection;
