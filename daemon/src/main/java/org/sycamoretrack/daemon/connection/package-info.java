/** What lives as long as a connection between two nodes: frames, their codec and the link. */
package org.sycamoretrack.daemon.connection;
