package org.sycamoretrack.daemon.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.core.buffer.ArrayBufferInput;
import org.msgpack.core.buffer.MessageBuffer;

/**
 * Encodes messages as frames and decodes them.
 *
 * <p>A frame is a 4-byte length followed by a MessagePack map: the type under {@code $t}, the
 * protocol version under {@code $v} and the fields of the message. Messages of an unregistered type
 * and fields that the decoder doesn't read are ignored, so that nodes of two releases can
 * communicate.
 *
 * <p>Decoding never allocates more than a small multiple of the frame: each declared length is
 * compared with the remaining bytes before memory is allocated for it, and the nesting depth of
 * maps and lists is limited to {@value #MAX_DEPTH}.
 *
 * <p>Example: a message of type {@code p} with the field {@code n} = 7 is the frame {@code 00 00 00
 * 11 | df 00 00 00 03 | a2 $t a1 p | a2 $v 01 | a1 n 07}.
 */
public final class PeerCodec {
  /** The protocol version of this release. */
  public static final int PROTOCOL_VERSION = 1;

  static final int LENGTH_BYTES = 4;
  private static final int MAX_DEPTH = 16;
  private static final int MAX_INITIAL_LIST_CAPACITY = 64;
  private static final int MAP32 = 0xdf;
  private static final int MAP32_HEADER_BYTES = 5;
  private static final String TYPE_FIELD = "$t";
  private static final String VERSION_FIELD = "$v";
  private static final ThreadLocal<MessageBufferPacker> PACKERS =
      ThreadLocal.withInitial(MessagePack::newDefaultBufferPacker);

  private final Map<String, Function<FieldReader, ? extends PeerMessage>> decoders =
      new ConcurrentHashMap<>();

  /**
   * Registers the decoder of a message type.
   *
   * @param type the type
   * @param decoder creates a message from its fields; throws {@link MalformedFrameException}
   */
  public void register(String type, Function<FieldReader, ? extends PeerMessage> decoder) {
    if (decoders.putIfAbsent(type, decoder) != null) {
      throw new IllegalArgumentException("type " + type + " is already registered");
    }
  }

  /**
   * Encodes a message with its length.
   *
   * @param allocator allocates the buffer
   * @param message the message
   * @return the frame, which the caller must release
   */
  public ByteBuf encode(ByteBufAllocator allocator, PeerMessage message) {
    MessageBufferPacker packer = PACKERS.get();
    packer.clear();
    FieldWriter writer = new FieldWriter(packer);
    writer.string(TYPE_FIELD, message.type()).integer(VERSION_FIELD, PROTOCOL_VERSION);
    message.writeFields(writer);
    List<MessageBuffer> parts = flush(packer);
    int bodyBytes = MAP32_HEADER_BYTES;
    for (MessageBuffer part : parts) {
      bodyBytes += part.size();
    }
    ByteBuf frame = allocator.buffer(LENGTH_BYTES + bodyBytes);
    frame.writeInt(bodyBytes).writeByte(MAP32).writeInt(writer.count());
    for (MessageBuffer part : parts) {
      frame.writeBytes(part.sliceAsByteBuffer());
    }
    return frame;
  }

  private static List<MessageBuffer> flush(MessageBufferPacker packer) {
    try {
      packer.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return packer.toBufferList();
  }

  /**
   * Decodes a frame.
   *
   * @param frame the frame without its length; all of its bytes are consumed
   * @return the message, or null when its type is not registered
   * @throws MalformedFrameException when the frame is not a valid message
   */
  public PeerMessage decode(ByteBuf frame) {
    byte[] bytes = new byte[frame.readableBytes()];
    frame.readBytes(bytes);
    FieldReader fields = readFields(bytes);
    Function<FieldReader, ? extends PeerMessage> decoder = decoders.get(fields.string(TYPE_FIELD));
    return decoder == null ? null : apply(decoder, fields);
  }

  /** Applies a decoder; any exception of the decoder means that the frame is malformed. */
  private static PeerMessage apply(
      Function<FieldReader, ? extends PeerMessage> decoder, FieldReader fields) {
    try {
      return decoder.apply(fields);
    } catch (MalformedFrameException e) {
      throw e;
    } catch (RuntimeException e) {
      throw new MalformedFrameException("the fields of a message can't be decoded: " + e);
    }
  }

  private static FieldReader readFields(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(new ArrayBufferInput(bytes))) {
      Object value = readValue(unpacker, bytes.length, 0);
      if (value instanceof FieldReader fields && unpacker.getTotalReadBytes() == bytes.length) {
        return fields;
      }
      throw new MalformedFrameException("a frame is not a single map");
    } catch (MessagePackException | IOException e) {
      throw new MalformedFrameException("a frame is not valid MessagePack: " + e.getMessage());
    }
  }

  private static Object readValue(MessageUnpacker unpacker, int frameBytes, int depth)
      throws IOException {
    if (depth > MAX_DEPTH) {
      throw new MalformedFrameException("a frame is nested too deeply");
    }
    MessageFormat format = unpacker.getNextFormat();
    return switch (format.getValueType()) {
      case NIL -> {
        unpacker.unpackNil();
        yield null;
      }
      case BOOLEAN -> unpacker.unpackBoolean();
      case INTEGER -> unpacker.unpackLong();
      case FLOAT -> unpacker.unpackDouble();
      case STRING ->
          new String(
              readPayload(unpacker, unpacker.unpackRawStringHeader(), frameBytes),
              StandardCharsets.UTF_8);
      case BINARY -> readPayload(unpacker, unpacker.unpackBinaryHeader(), frameBytes);
      case ARRAY -> readList(unpacker, frameBytes, depth);
      case MAP -> readMap(unpacker, frameBytes, depth);
      case EXTENSION -> throw new MalformedFrameException("a frame contains an extension type");
    };
  }

  private static byte[] readPayload(MessageUnpacker unpacker, int length, int frameBytes)
      throws IOException {
    checkRemaining(unpacker, length, frameBytes);
    return unpacker.readPayload(length);
  }

  private static List<Object> readList(MessageUnpacker unpacker, int frameBytes, int depth)
      throws IOException {
    int size = unpacker.unpackArrayHeader();
    checkRemaining(unpacker, size, frameBytes);
    List<Object> values = new ArrayList<>(Math.min(size, MAX_INITIAL_LIST_CAPACITY));
    for (int i = 0; i < size; i++) {
      values.add(readValue(unpacker, frameBytes, depth + 1));
    }
    return values;
  }

  private static FieldReader readMap(MessageUnpacker unpacker, int frameBytes, int depth)
      throws IOException {
    int size = unpacker.unpackMapHeader();
    checkRemaining(unpacker, size, frameBytes);
    Map<String, Object> values = new HashMap<>();
    for (int i = 0; i < size; i++) {
      if (!(readValue(unpacker, frameBytes, depth + 1) instanceof String name)) {
        throw new MalformedFrameException("a field name is not a string");
      }
      Object value = readValue(unpacker, frameBytes, depth + 1);
      if (value != null) {
        values.put(name, value);
      }
    }
    return new FieldReader(values);
  }

  private static void checkRemaining(MessageUnpacker unpacker, int length, int frameBytes) {
    if (length < 0 || length > frameBytes - unpacker.getTotalReadBytes()) {
      throw new MalformedFrameException("a declared length exceeds the rest of the frame");
    }
  }
}
