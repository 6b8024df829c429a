/** Connections between nodes: the link, its handshake, and the encoding of messages as frames. */
package org.sycamoretrack.daemon.connection;
