package org.sycamoretrack.daemon.connection;

import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;

/**
 * An address to which a {@link PeerLink} keeps connecting until the address is removed, with
 * jittered exponential backoff between attempts.
 *
 * <p>Example: after three consecutive failures the delay is chosen uniformly from 200 to 400 ms.
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

  synchronized void setConnection(OutboundConnection newConnection) {
    connection = newConnection;
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
