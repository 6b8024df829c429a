package org.sycamoretrack.daemon.connection;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.sycamoretrack.core.connection.EjectionState;

/**
 * Encodes the loads of endpoints as the payload of gossip messages.
 *
 * <p>The payload is a MessagePack array with one array of {@value #FIELDS} integers, about 20
 * bytes, for each endpoint. Fields that a newer node appends are skipped.
 */
public final class EndpointLoadCodec {
  private static final int FIELDS = 8;
  private static final int LEAVING_FLAG = 0x10;
  private static final int EJECTION_MASK = 0x0f;
  private static final int MAX_ENDPOINTS = 1_024;

  private EndpointLoadCodec() {}

  /**
   * Encodes loads.
   *
   * @param loads the loads of the endpoints to which this node sends work
   */
  public static byte[] encode(Collection<EndpointLoad> loads) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(loads.size());
      for (EndpointLoad load : loads) {
        packer.packArrayHeader(FIELDS);
        packer.packInt(load.nameHash());
        packer.packInt(load.inFlight());
        packer.packInt(load.limit());
        packer.packLong(load.queuedTokens());
        packer.packLong(load.timeToFirstTokenUs());
        packer.packLong(load.timePerTokenUs());
        packer.packInt(flags(load));
        packer.packLong(load.servedVersion());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static int flags(EndpointLoad load) {
    int ejection =
        switch (load.ejection()) {
          case IN_USE -> 0;
          case EJECTED -> 1;
          case PROBE_DUE -> 2;
          case PROBING -> 3;
        };
    return load.leaving() ? ejection | LEAVING_FLAG : ejection;
  }

  private static EjectionState ejection(int flags) {
    return switch (flags & EJECTION_MASK) {
      case 1 -> EjectionState.EJECTED;
      case 2 -> EjectionState.PROBE_DUE;
      case 3 -> EjectionState.PROBING;
      default -> EjectionState.IN_USE;
    };
  }

  /**
   * Decodes loads.
   *
   * @param payload the result of {@link #encode}, possibly of a newer node
   * @throws MalformedFrameException when the payload is malformed
   */
  public static List<EndpointLoad> decode(byte[] payload) {
    List<EndpointLoad> loads = new ArrayList<>();
    if (payload.length == 0) {
      return loads;
    }
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      int count = unpacker.unpackArrayHeader();
      if (count > MAX_ENDPOINTS) {
        throw new MalformedFrameException("too many endpoint loads: " + count + " endpoints");
      }
      for (int i = 0; i < count; i++) {
        loads.add(decodeOne(unpacker));
      }
      return loads;
    } catch (IOException | org.msgpack.core.MessagePackException e) {
      throw new MalformedFrameException("malformed endpoint loads: " + e.getMessage());
    }
  }

  private static EndpointLoad decodeOne(MessageUnpacker unpacker) throws IOException {
    int fields = unpacker.unpackArrayHeader();
    if (fields < FIELDS) {
      throw new MalformedFrameException("an endpoint load has only " + fields + " fields");
    }
    int nameHash = unpacker.unpackInt();
    int inFlight = unpacker.unpackInt();
    int limit = unpacker.unpackInt();
    long queuedTokens = unpacker.unpackLong();
    long timeToFirstTokenUs = unpacker.unpackLong();
    long timePerTokenUs = unpacker.unpackLong();
    int flags = unpacker.unpackInt();
    long servedVersion = unpacker.unpackLong();
    unpacker.skipValue(fields - FIELDS);
    return new EndpointLoad(
        nameHash,
        inFlight,
        limit,
        queuedTokens,
        timeToFirstTokenUs,
        timePerTokenUs,
        ejection(flags),
        (flags & LEAVING_FLAG) != 0,
        servedVersion);
  }
}
