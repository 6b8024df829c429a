package org.sycamoretrack.daemon.connection;

import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;

/**
 * An address that is dialled until it is forgotten, with jittered exponential backoff between
 * attempts.
 *
 * <p>Example: after three failures in a row the wait is drawn evenly from 200 to 400 ms.
 */
final class PeerTarget {
  private static final long MIN_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 3_000;
  private static final int MAX_DOUBLINGS = 5;

  private final InetSocketAddress address;
  private int failures;
  private boolean removed;
  private OutboundConnection connection;

  PeerTarget(InetSocketAddress address) {
    this.address = address;
  }

  InetSocketAddress address() {
    return address;
  }

  synchronized void remove() {
    removed = true;
    if (connection != null) {
      connection.close();
    }
  }

  synchronized boolean isRemoved() {
    return removed;
  }

  synchronized void setConnection(OutboundConnection peer) {
    connection = peer;
  }

  synchronized void resetBackoff() {
    failures = 0;
  }

  synchronized long nextDelayMs(RandomGenerator random) {
    long limitMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return limitMs / 2 + random.nextLong(limitMs / 2 + 1);
  }
}
