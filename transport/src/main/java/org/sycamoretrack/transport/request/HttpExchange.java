package org.sycamoretrack.transport.request;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;

/**
 * A request that arrived whole, with the means to answer it once: {@link #respond} or {@link
 * #startStream}. Answering may be done from any thread; a second answer is ignored.
 */
public interface HttpExchange {
  /** Returns the method. */
  String method();

  /** Returns the path, still percent-encoded and without the query. */
  String path();

  /** Returns path and query as they were sent. */
  String target();

  /**
   * Returns a parameter of the query, decoded.
   *
   * @param name the name
   * @return the first value, or null
   */
  String queryParam(String name);

  /** Returns the headers. */
  HttpHeaders headers();

  /** Returns the body, empty when there was none. */
  byte[] body();

  /** Returns the event loop of the connection. */
  EventLoop eventLoop();

  /**
   * Answers whole.
   *
   * @param answer the answer
   */
  void respond(HttpAnswer answer);

  /**
   * Begins an answer of unknown length.
   *
   * @param status the HTTP status code
   * @param headers the headers
   * @return where the body goes
   */
  HttpStream startStream(int status, Map<String, String> headers);

  /**
   * Sets what happens when the caller closes its connection before the answer has ended. Runs at
   * once when that has happened already.
   *
   * @param action runs on the event loop, at most once
   */
  void onAbandoned(Runnable action);

  /** Closes the connection without an answer, or without the rest of one that has begun. */
  void abort();
}
