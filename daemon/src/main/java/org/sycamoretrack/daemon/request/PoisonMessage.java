package org.sycamoretrack.daemon.request;

import org.sycamoretrack.daemon.connection.FieldReader;
import org.sycamoretrack.daemon.connection.FieldWriter;
import org.sycamoretrack.daemon.connection.PeerMessage;

/**
 * Reports that a request was running on an endpoint when the endpoint crashed.
 *
 * @param fingerprint the fingerprint of the request
 * @param endpoint the name of the endpoint
 * @param observer the id of the node that detected the crash
 * @param deathId the unique id of the crash
 */
public record PoisonMessage(String fingerprint, String endpoint, String observer, String deathId)
    implements PeerMessage {
  /** The type on the peer link. */
  public static final String TYPE = "poison.charge";

  /**
   * Reads a message.
   *
   * @param fields the fields of the message
   */
  public static PoisonMessage read(FieldReader fields) {
    return new PoisonMessage(
        fields.string("fingerprint"),
        fields.string("endpoint"),
        fields.string("observer"),
        fields.string("deathId"));
  }

  @Override
  public String type() {
    return TYPE;
  }

  @Override
  public void writeFields(FieldWriter out) {
    out.string("fingerprint", fingerprint)
        .string("endpoint", endpoint)
        .string("observer", observer)
        .string("deathId", deathId);
  }
}
