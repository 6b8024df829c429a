package org.sycamoretrack.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.daemon.request.PoisonMessage;

/** Tests that {@link PeerCodec} decodes what it encodes and rejects malformed frames. */
class PeerCodecTest {
  private final PeerCodec codec = new PeerCodec();

  /** A message with a field of each type. */
  @SuppressWarnings("ArrayRecordComponent")
  private record Sample(
      String text, long number, double share, boolean flag, byte[] bytes, List<String> names)
      implements PeerMessage {
    static Sample read(FieldReader in) {
      FieldReader nested = in.maps("nested").get(0);
      return new Sample(
          in.string("text"),
          in.integer("number"),
          nested.number("share"),
          in.bool("flag"),
          in.bytes("bytes"),
          in.strings("names"));
    }

    @Override
    public String type() {
      return "sample";
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.string("text", text)
          .integer("number", number)
          .maps("nested", List.of(inner -> inner.number("share", share)))
          .bool("flag", flag)
          .bytes("bytes", bytes)
          .strings("names", names)
          .string("absent", null)
          .integer("newer", 1);
    }
  }

  PeerCodecTest() {
    codec.register("sample", Sample::read);
  }

  private ByteBuf body(PeerMessage message) {
    ByteBuf frame = codec.encode(UnpooledByteBufAllocator.DEFAULT, message);
    assertThat(frame.readInt()).isEqualTo(frame.readableBytes());
    return frame;
  }

  @Property(tries = 500, seed = "4711")
  void decodesWhatItEncodes(
      @ForAll String text,
      @ForAll long number,
      @ForAll double share,
      @ForAll boolean flag,
      @ForAll byte[] bytes,
      @ForAll List<String> names) {
    Sample sample = new Sample(text, number, share, flag, bytes, names);
    Sample read = (Sample) codec.decode(body(sample));
    assertThat(read).usingRecursiveComparison().isEqualTo(withUtf8Strings(sample));
  }

  /**
   * Guards against crash reports that no peer can read: the observer was not written, so that each
   * report closed the connection and no node learnt of the crashes that others had seen.
   */
  @Test
  void decodesCrashReports() {
    codec.register(PoisonMessage.TYPE, PoisonMessage::read);
    PoisonMessage message = new PoisonMessage("f-1", "engine-1", "node-1", "node-1/engine-1/1");

    assertThat(codec.decode(body(message))).isEqualTo(message);
  }

  /** Replaces unpaired surrogates in the strings, which UTF-8 can't represent. */
  private static Sample withUtf8Strings(Sample sample) {
    return new Sample(
        utf8(sample.text()),
        sample.number(),
        sample.share(),
        sample.flag(),
        sample.bytes(),
        sample.names().stream().map(PeerCodecTest::utf8).toList());
  }

  private static String utf8(String text) {
    byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    return new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
  }

  private boolean decodes(ByteBuf frame) {
    try {
      codec.decode(frame);
      return true;
    } catch (MalformedFrameException e) {
      return false;
    }
  }

  @Property(tries = 5_000, seed = "4711")
  void anyBytesAreDecodedOrMalformed(@ForAll @Size(max = 200) byte[] bytes) {
    ByteBuf frame = Unpooled.wrappedBuffer(bytes);
    decodes(frame);
    assertThat(frame.isReadable()).isFalse();
  }

  @Property(tries = 5_000, seed = "4711")
  void aDamagedFrameIsDecodedOrMalformed(
      @ForAll @net.jqwik.api.constraints.IntRange(max = 90) int index, @ForAll byte value) {
    ByteBuf frame = body(new Sample("text", 7, 0.5, true, new byte[20], List.of("a", "b")));
    frame.setByte(frame.readerIndex() + index % frame.readableBytes(), value);
    decodes(frame);
    assertThat(frame.isReadable()).isFalse();
  }

  @Test
  void aTruncatedFrameIsMalformed() {
    ByteBuf whole = body(new Sample("text", 7, 0.5, true, new byte[20], List.of("a", "b")));
    for (int length = 0; length < whole.readableBytes(); length++) {
      ByteBuf truncated = whole.copy(whole.readerIndex(), length);
      assertThatExceptionOfType(MalformedFrameException.class)
          .isThrownBy(() -> codec.decode(truncated));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "dd7fffffff, a list longer than its frame",
    "df7fffffff, a map larger than its frame",
    "81a161c67fffffff, bytes longer than their frame",
    "81a161db7fffffff, a string longer than its frame",
    "8101c0, a field whose name is a number",
    "81a161d40100, an extension type",
    "81a161cfffffffffffffffff, an integer over 63 bits",
    "80, a map without a type",
    "81a22474a673616d706c6500, a byte after the end",
  })
  void malformedFramesAreRejected(String hex, String description) {
    ByteBuf frame = Unpooled.wrappedBuffer(HexFormat.of().parseHex(hex));
    assertThatExceptionOfType(MalformedFrameException.class)
        .as(description)
        .isThrownBy(() -> codec.decode(frame));
  }

  @Test
  void deepNestingIsRejectedWithoutStackOverflow() {
    byte[] bytes = new byte[100_000];
    java.util.Arrays.fill(bytes, (byte) 0x91);
    assertThatExceptionOfType(MalformedFrameException.class)
        .isThrownBy(() -> codec.decode(Unpooled.wrappedBuffer(bytes)));
  }

  @Test
  void aTypeThatIsNotRegisteredIsIgnored() {
    assertThat(new PeerCodec().decode(body(new Sample("", 0, 0, false, null, List.of())))).isNull();
  }
}
