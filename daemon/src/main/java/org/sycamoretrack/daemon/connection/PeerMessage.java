package org.sycamoretrack.daemon.connection;

/** A message from one node to another. Implementations are immutable. */
public interface PeerMessage extends FieldSource {
  /** Returns the type by which the receiver selects the decoder, for example {@code swim.p}. */
  String type();
}
