package org.sycamoretrack.bench.process;

import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.SwimMessage;

/**
 * Computes the size of a membership message on the wire: a length of 4 bytes, then a MessagePack
 * map with the type, the protocol version, the fields, and a map for each member record.
 */
final class SwimFrameSize {
  private static final int FRAME_BYTES = 4 + 5 + 2 + 7 + 2 + 1;
  private static final int KEY_BYTES = 2;
  private static final int MEMBER_KEYS = 8;
  private static final int SHORT_STRING_BYTES = 31;

  private SwimFrameSize() {}

  static int bytes(SwimMessage message) {
    int fields =
        switch (message) {
          case SwimMessage.Ping ping -> integer(ping.seq()) + integer(ping.configVersion()) + 4;
          case SwimMessage.Ack ack -> integer(ack.seq()) + integer(ack.configVersion()) + 4;
          case SwimMessage.PingRequest request ->
              integer(request.seq()) + string(request.targetId()) + 4;
          case SwimMessage.Gossip gossip -> 0;
          case SwimMessage.Digest digest -> integer(digest.hash()) + KEY_BYTES;
          case SwimMessage.Snapshot snapshot -> 1 + KEY_BYTES;
        };
    int updates = message.updates().stream().mapToInt(SwimFrameSize::member).sum();
    return FRAME_BYTES + fields + (updates == 0 ? 0 : KEY_BYTES + 3 + updates);
  }

  private static int member(Member member) {
    return 5
        + MEMBER_KEYS * KEY_BYTES
        + string(member.nodeId())
        + string(member.zone())
        + string(member.region())
        + string(member.address())
        + integer(member.epoch())
        + integer(member.incarnation())
        + integer(member.configVersion())
        + 1;
  }

  private static int string(String value) {
    return value.length() + (value.length() <= SHORT_STRING_BYTES ? 1 : 2);
  }

  private static int integer(long value) {
    if (value >= 0 && value < 128) {
      return 1;
    }
    if (value >= 0 && value < 1 << 16) {
      return 3;
    }
    return value >= 0 && value < 1L << 32 ? 5 : 9;
  }
}
