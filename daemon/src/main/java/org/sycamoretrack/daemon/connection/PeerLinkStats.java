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

  /** Returns the number of sent messages, without handshake and heartbeat messages. */
  public long framesSent() {
    return framesSent.sum();
  }

  /** Returns the number of frames received. */
  public long framesReceived() {
    return framesReceived.sum();
  }

  /** Returns the bytes of sent frames, including their length fields. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Returns the bytes of received frames, including their length fields. */
  public long bytesReceived() {
    return bytesReceived.sum();
  }

  /** Returns the number of sends refused because there was no connection or its buffer was full. */
  public long sendsRefused() {
    return sendsRefused.sum();
  }

  /** Returns the number of connections closed for a malformed or oversized frame. */
  public long malformedFrames() {
    return malformedFrames.sum();
  }

  /** Returns the number of connections closed because the proof of the peer was invalid. */
  public long proofsRefused() {
    return proofsRefused.sum();
  }

  /** Returns the number of messages of an unregistered type. */
  public long unknownTypes() {
    return unknownTypes.sum();
  }

  /** Returns the number of connections, in both directions, that completed the handshake. */
  public long connectionsOpened() {
    return connectionsOpened.sum();
  }

  /** Returns the number of connections closed because the peer was silent for too long. */
  public long connectionsTimedOut() {
    return connectionsTimedOut.sum();
  }

  /** Returns the number of messages whose handler threw an exception. */
  public long handlerFailures() {
    return handlerFailures.sum();
  }
}
