package org.sycamoretrack.daemon.connection;

/** A message from one node to another. Implementations are immutable. */
public interface PeerMessage extends FieldSource {
  /** Returns the type that the receiver chooses the decoder by, for example {@code swim.ping}. */
  String type();
}
