package org.sycamoretrack.core.process;

import java.util.List;

/** A message of the SWIM membership protocol, see {@link Membership}. */
public sealed interface SwimMessage {
  /** Returns the updated member records that are piggybacked on the message. */
  List<Member> updates();

  /**
   * Probes the receiver, which responds with an {@link Ack}.
   *
   * @param seq the sequence number of the probe, chosen by the sender
   * @param configVersion the sender's configuration version
   * @param updates updated member records
   */
  record Ping(long seq, long configVersion, List<Member> updates) implements SwimMessage {}

  /**
   * Acknowledges a probe.
   *
   * @param seq the sequence number of the probe
   * @param configVersion the sender's configuration version
   * @param updates updated member records
   */
  record Ack(long seq, long configVersion, List<Member> updates) implements SwimMessage {}

  /**
   * Requests an indirect probe: the receiver probes another member and forwards its ack.
   *
   * @param seq the sequence number of the sender's probe
   * @param targetId the id of the member to probe
   * @param updates updated member records
   */
  record PingRequest(long seq, String targetId, List<Member> updates) implements SwimMessage {}

  /**
   * Disseminates updates.
   *
   * @param updates updated member records
   */
  record Gossip(List<Member> updates) implements SwimMessage {}

  /**
   * Lets the receiver compare its records with those of the sender.
   *
   * @param hash a hash of the sender's records of members that are not dead
   */
  record Digest(long hash) implements SwimMessage {
    @Override
    public List<Member> updates() {
      return List.of();
    }
  }

  /**
   * Contains all records of the sender.
   *
   * @param updates all member records, including that of the sender
   * @param wantsReply whether the receiver is to send its records in return
   */
  record Snapshot(List<Member> updates, boolean wantsReply) implements SwimMessage {}

  /**
   * A message with its receiver.
   *
   * @param to the receiver's node id
   * @param message the message
   */
  record Envelope(String to, SwimMessage message) {}
}
