package org.sycamoretrack.transport.connection;

import java.util.concurrent.atomic.AtomicInteger;
import org.sycamoretrack.transport.request.HttpHandler;

/** Settings and counters shared by all connections of a server. Thread-safe. */
final class ServerState {
  private final HttpHandler handler;
  private final int maxBodyBytes;
  private final int requestTimeoutMs;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean draining;

  ServerState(HttpHandler handler, int maxBodyBytes, int requestTimeoutMs) {
    this.handler = handler;
    this.maxBodyBytes = maxBodyBytes;
    this.requestTimeoutMs = requestTimeoutMs;
  }

  HttpHandler handler() {
    return handler;
  }

  int maxBodyBytes() {
    return maxBodyBytes;
  }

  int requestTimeoutMs() {
    return requestTimeoutMs;
  }

  AtomicInteger inFlight() {
    return inFlight;
  }

  /** Returns whether each connection is to be closed after its current response. */
  boolean isDraining() {
    return draining;
  }

  void drain() {
    draining = true;
  }
}
