package org.sycamoretrack.daemon.process;

import org.sycamoretrack.daemon.connection.FieldReader;
import org.sycamoretrack.daemon.connection.FieldWriter;
import org.sycamoretrack.daemon.connection.PeerMessage;

/**
 * What a node tells the other nodes of its zone about the load of its endpoints.
 *
 * @param payload bytes that only the sender and the receiver of loads understand
 */
@SuppressWarnings("ArrayRecordComponent")
record LoadFrame(byte[] payload) implements PeerMessage {
  static final String TYPE = "load";

  static LoadFrame read(FieldReader in) {
    return new LoadFrame(in.bytes("b"));
  }

  @Override
  public String type() {
    return TYPE;
  }

  @Override
  public void writeFields(FieldWriter out) {
    out.bytes("b", payload);
  }
}
