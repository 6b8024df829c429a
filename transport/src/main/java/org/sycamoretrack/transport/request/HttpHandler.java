package org.sycamoretrack.transport.request;

/** Handles the requests of an {@link org.sycamoretrack.transport.connection.HttpServer}. */
@FunctionalInterface
public interface HttpHandler {
  /**
   * Handles a request. Called on the event loop of the connection and must not block. The response
   * may be sent later and from any thread. If this method throws a {@link RuntimeException}, the
   * server responds with status 500.
   *
   * @param exchange the request and its response
   */
  void handle(HttpExchange exchange);
}
