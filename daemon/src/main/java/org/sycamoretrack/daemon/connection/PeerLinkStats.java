package org.sycamoretrack.daemon.connection;

import java.util.concurrent.atomic.LongAdder;

/** Counters of a {@link PeerLink} since its start. */
public final class PeerLinkStats {
  final LongAdder framesSent = new LongAdder();
  final LongAdder framesReceived = new LongAdder();
  final LongAdder bytesSent = new LongAdder();
  final LongAdder bytesReceived = new LongAdder();
  final LongAdder sendsRefused = new LongAdder();
  final LongAdder malformedFrames = new LongAdder();
  final LongAdder proofsRefused = new LongAdder();
  final LongAdder unknownTypes = new LongAdder();
  final LongAdder connectionsOpened = new LongAdder();
  final LongAdder connectionsTimedOut = new LongAdder();
  final LongAdder handlerFailures = new LongAdder();

  PeerLinkStats() {}

  /** Returns the number of messages handed to connections, without the handshake. */
  public long framesSent() {
    return framesSent.sum();
  }

  /** Returns the number of whole frames received. */
  public long framesReceived() {
    return framesReceived.sum();
  }

  /** Returns the bytes of the frames sent, with their lengths. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Returns the bytes of the frames received, with their lengths. */
  public long bytesReceived() {
    return bytesReceived.sum();
  }

  /** Returns the number of sends refused: no connection, or its buffer was full. */
  public long sendsRefused() {
    return sendsRefused.sum();
  }

  /** Returns the number of connections closed for a malformed or oversized frame. */
  public long malformedFrames() {
    return malformedFrames.sum();
  }

  /** Returns the number of connections closed because the peer did not prove the shared key. */
  public long proofsRefused() {
    return proofsRefused.sum();
  }

  /** Returns the number of messages of a type that this release does not know. */
  public long unknownTypes() {
    return unknownTypes.sum();
  }

  /** Returns the number of connections that finished the handshake, in both directions. */
  public long connectionsOpened() {
    return connectionsOpened.sum();
  }

  /** Returns the number of connections closed because the peer was silent. */
  public long connectionsTimedOut() {
    return connectionsTimedOut.sum();
  }

  /** Returns the number of messages whose handler threw. */
  public long handlerFailures() {
    return handlerFailures.sum();
  }
}
