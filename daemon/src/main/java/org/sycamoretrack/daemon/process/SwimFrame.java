package org.sycamoretrack.daemon.process;

import java.util.List;
import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.MemberState;
import org.sycamoretrack.core.process.SwimMessage;
import org.sycamoretrack.daemon.connection.FieldReader;
import org.sycamoretrack.daemon.connection.FieldSource;
import org.sycamoretrack.daemon.connection.FieldWriter;
import org.sycamoretrack.daemon.connection.MalformedFrameException;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.connection.PeerMessage;

/**
 * A message of the membership protocol on the peer link. Field names have one letter to save
 * bandwidth, since these messages make up most of the traffic of idle nodes.
 *
 * @param message the message
 */
record SwimFrame(SwimMessage message) implements PeerMessage {
  private static final String PING = "swim.p";
  private static final String ACK = "swim.a";
  private static final String PING_REQUEST = "swim.r";
  private static final String GOSSIP = "swim.g";
  private static final String DIGEST = "swim.d";
  private static final String SNAPSHOT = "swim.s";

  /** Handles messages of the protocol. */
  @FunctionalInterface
  interface Receiver {
    void onMessage(String from, SwimMessage message);
  }

  /**
   * Registers the handler of all messages of the protocol.
   *
   * @param link the peer link
   * @param receiver called on event loops
   */
  static void register(PeerLink link, Receiver receiver) {
    for (String type : List.of(PING, ACK, PING_REQUEST, GOSSIP, DIGEST, SNAPSHOT)) {
      link.onMessage(
          type,
          fields -> new SwimFrame(read(type, fields)),
          (from, frame) -> receiver.onMessage(from, frame.message()));
    }
  }

  @Override
  public String type() {
    return switch (message) {
      case SwimMessage.Ping ping -> PING;
      case SwimMessage.Ack ack -> ACK;
      case SwimMessage.PingRequest request -> PING_REQUEST;
      case SwimMessage.Gossip gossip -> GOSSIP;
      case SwimMessage.Digest digest -> DIGEST;
      case SwimMessage.Snapshot snapshot -> SNAPSHOT;
    };
  }

  @Override
  public void writeFields(FieldWriter out) {
    switch (message) {
      case SwimMessage.Ping ping -> out.integer("q", ping.seq()).integer("c", ping.configVersion());
      case SwimMessage.Ack ack -> out.integer("q", ack.seq()).integer("c", ack.configVersion());
      case SwimMessage.PingRequest request ->
          out.integer("q", request.seq()).string("t", request.targetId());
      case SwimMessage.Gossip gossip -> {
        // It has no fields besides the member updates.
      }
      case SwimMessage.Digest digest -> out.integer("h", digest.hash());
      case SwimMessage.Snapshot snapshot -> out.bool("w", snapshot.wantsReply());
    }
    if (!message.updates().isEmpty()) {
      out.maps("n", message.updates().stream().map(SwimFrame::source).toList());
    }
  }

  private static FieldSource source(Member member) {
    return out ->
        out.string("n", member.nodeId())
            .string("z", member.zone())
            .string("r", member.region())
            .string("a", member.address())
            .integer("e", member.epoch())
            .integer("i", member.incarnation())
            .integer("s", code(member.state()))
            .integer("c", member.configVersion());
  }

  private static SwimMessage read(String type, FieldReader in) {
    List<Member> updates = in.maps("n").stream().map(SwimFrame::readMember).toList();
    return switch (type) {
      case PING -> new SwimMessage.Ping(in.integer("q"), in.integer("c"), updates);
      case ACK -> new SwimMessage.Ack(in.integer("q"), in.integer("c"), updates);
      case PING_REQUEST -> new SwimMessage.PingRequest(in.integer("q"), in.string("t"), updates);
      case GOSSIP -> new SwimMessage.Gossip(updates);
      case DIGEST -> new SwimMessage.Digest(in.integer("h"));
      case SNAPSHOT -> new SwimMessage.Snapshot(updates, in.bool("w"));
      default -> throw new MalformedFrameException("unknown membership message type " + type);
    };
  }

  private static Member readMember(FieldReader in) {
    return new Member(
        in.string("n"),
        in.string("z"),
        in.string("r"),
        address(in.string("a")),
        in.integer("e"),
        in.integer("i"),
        state(in.integer("s")),
        in.integer("c"));
  }

  /** Checks that an address can be dialled, and returns it. */
  private static String address(String text) {
    Addresses.parse(text);
    return text;
  }

  private static long code(MemberState state) {
    return switch (state) {
      case ALIVE -> 0;
      case LEAVING -> 1;
      case SUSPECT -> 2;
      case DEAD -> 3;
    };
  }

  private static MemberState state(long code) {
    return switch ((int) code) {
      case 0 -> MemberState.ALIVE;
      case 1 -> MemberState.LEAVING;
      case 2 -> MemberState.SUSPECT;
      case 3 -> MemberState.DEAD;
      default -> throw new MalformedFrameException("unknown member state " + code);
    };
  }
}
