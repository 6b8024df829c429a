package org.sycamoretrack.daemon.request;

import org.sycamoretrack.daemon.connection.FieldReader;
import org.sycamoretrack.daemon.connection.FieldWriter;
import org.sycamoretrack.daemon.connection.PeerMessage;

/**
 * Tells that a request was in flight when an endpoint died.
 *
 * @param fingerprint the fingerprint of the request
 * @param endpoint the endpoint that died
 * @param observer the node that saw it die
 * @param deathId names the death
 */
public record PoisonMessage(String fingerprint, String endpoint, String observer, String deathId)
    implements PeerMessage {
  /** The type on the peer link. */
  public static final String TYPE = "poison.charge";

  /**
   * Reads a message.
   *
   * @param fields its fields
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
    out.string("fingerprint", fingerprint).string("endpoint", endpoint).string("deathId", deathId);
  }
}
