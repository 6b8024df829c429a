package org.sycamoretrack.daemon.process;

import java.util.List;
import org.sycamoretrack.transport.connection.HttpServer;

/**
 * Ends the connections of a node's HTTP servers during a planned stop without cutting off a request
 * that has been read.
 *
 * <p>From {@link #begin} on, each response says that its connection closes, so clients that keep
 * connections move to other nodes with their next request. New connections are accepted until
 * {@link #stopAccepting}, since clients learn of the stop late. After that, {@link #closeIdle} ends
 * the connections without a request, and the others end with their responses. Each connection
 * decides on its own event loop whether it is idle, so a request is either unread or answered.
 */
public final class ServerDrain {
  private final List<HttpServer> servers;

  /**
   * Creates a drain that hasn't begun.
   *
   * @param servers the servers
   */
  public ServerDrain(HttpServer... servers) {
    this.servers = List.of(servers);
  }

  /** Lets each connection end after its next response. */
  public void begin() {
    servers.forEach(HttpServer::closeAfterResponses);
  }

  /** Stops accepting connections. */
  public void stopAccepting() {
    servers.forEach(HttpServer::drain);
  }

  /**
   * Closes the connections on which there is no request. To be called repeatedly.
   *
   * @return whether no connection is open any more
   */
  public boolean closeIdle() {
    servers.forEach(HttpServer::closeIdleConnections);
    return isClosed();
  }

  /**
   * Closes the connections without a complete request, after refusing what has arrived in part. To
   * be called repeatedly once all requests are answered.
   *
   * @return whether no connection is open any more
   */
  public boolean closeAll() {
    servers.forEach(HttpServer::refuseIncompleteRequests);
    return closeIdle();
  }

  private boolean isClosed() {
    return servers.stream().allMatch(server -> server.connectionCount() == 0);
  }
}
