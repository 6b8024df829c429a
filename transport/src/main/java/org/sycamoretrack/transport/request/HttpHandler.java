package org.sycamoretrack.transport.request;

/** Answers requests that an {@link org.sycamoretrack.transport.connection.HttpServer} received. */
@FunctionalInterface
public interface HttpHandler {
  /**
   * Handles a request. Called on the event loop of the connection and must not block; the answer
   * may be given later and from any thread. What it throws becomes an answer with status 500.
   *
   * @param exchange the request with the means to answer it
   */
  void handle(HttpExchange exchange);
}
