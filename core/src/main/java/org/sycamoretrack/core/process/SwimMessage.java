package org.sycamoretrack.core.process;

import java.util.List;

/** A message of the membership protocol. */
public sealed interface SwimMessage {
  /** Returns news of members that the message carries along. */
  List<Member> news();

  /**
   * Asks the receiver for an {@link Ack}.
   *
   * @param seq names the probe, chosen by the sender
   * @param configVersion the sender's version of the configuration
   * @param news news of members
   */
  record Ping(long seq, long configVersion, List<Member> news) implements SwimMessage {}

  /**
   * Answers a probe.
   *
   * @param seq names the probe
   * @param configVersion the sender's version of the configuration
   * @param news news of members
   */
  record Ack(long seq, long configVersion, List<Member> news) implements SwimMessage {}

  /**
   * Asks the receiver to probe another member and to pass its answer on.
   *
   * @param seq names the probe of the sender
   * @param targetId whom to probe
   * @param news news of members
   */
  record PingRequest(long seq, String targetId, List<Member> news) implements SwimMessage {}

  /**
   * Brings news only.
   *
   * @param news news of members
   */
  record Gossip(List<Member> news) implements SwimMessage {}

  /**
   * Lets the receiver compare what both know.
   *
   * @param hash a hash of the sender's records of members that are not dead
   */
  record Digest(long hash) implements SwimMessage {
    @Override
    public List<Member> news() {
      return List.of();
    }
  }

  /**
   * All that the sender knows.
   *
   * @param news all records, the sender's own included
   * @param wantsReply whether the receiver should send its own
   */
  record Snapshot(List<Member> news, boolean wantsReply) implements SwimMessage {}

  /**
   * A message with its receiver.
   *
   * @param to the receiver's node id
   * @param message the message
   */
  record Envelope(String to, SwimMessage message) {}
}
