package org.sycamoretrack.daemon.process;

import org.sycamoretrack.daemon.connection.FieldReader;
import org.sycamoretrack.daemon.connection.FieldWriter;
import org.sycamoretrack.daemon.connection.PeerMessage;

/**
 * A message that reports the load of a node's endpoints to other nodes.
 *
 * @param payload the encoded load report, opaque to the peer link
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
