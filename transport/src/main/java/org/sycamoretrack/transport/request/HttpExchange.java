package org.sycamoretrack.transport.request;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;

/**
 * A complete request and its response, which is sent once with {@link #respond} or {@link
 * #startStream}. Both may be called from any thread. A second response is ignored.
 */
public interface HttpExchange {
  /** Returns the method. */
  String method();

  /** Returns the path, still percent-encoded and without the query. */
  String path();

  /** Returns the request target: path and query as received. */
  String target();

  /**
   * Returns a query parameter, percent-decoded.
   *
   * @param name the name of the parameter
   * @return its first value, or null if the parameter is absent
   */
  String queryParam(String name);

  /** Returns the headers. */
  HttpHeaders headers();

  /** Returns the body, empty if the request has none. */
  byte[] body();

  /** Returns the event loop of the connection. */
  EventLoop eventLoop();

  /**
   * Sends a complete response.
   *
   * @param response the response
   */
  void respond(HttpResponse response);

  /**
   * Starts a response of unknown length.
   *
   * @param status the HTTP status code
   * @param headers the headers
   * @return the stream for the response body
   */
  HttpResponseStream startStream(int status, Map<String, String> headers);

  /**
   * Sets an action to run when the client closes the connection before the response is complete. If
   * that has already happened, the action runs immediately.
   *
   * @param action the action, which runs on the event loop, at most once
   */
  void onClientDisconnect(Runnable action);

  /** Closes the connection without a response, or without the rest of one that has been started. */
  void abort();
}
