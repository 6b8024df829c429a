package org.sycamoretrack.daemon.client;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import org.sycamoretrack.transport.process.Json;

/**
 * Parses the server-sent events of a completion stream, which arrives in parts of any size.
 *
 * <p>The bytes are split into lines. A line that is contained in one part, in a buffer backed by an
 * array, is parsed in place; only an incomplete line at the end of a part is copied and buffered
 * until the next part. A line is a comment, a field other than {@code data}, the end marker, or a
 * JSON event, which is parsed by a streaming parser without building a tree.
 *
 * <p>Invariants: a chunk with tokens has a weight version; a chunk with text has tokens; only the
 * end marker follows a finish reason, and the end marker is valid only there; no line is longer
 * than {@link #MAX_LINE_BYTES}.
 *
 * <p>Example: the parts {@code "data: {…}\n\nda"} and {@code "ta: [DONE]\n\n"} contain one event,
 * which is parsed in place, and the end marker, of which {@code "da"} is buffered until the second
 * part.
 */
final class EngineStreamParser {
  /** The maximum length of a line, without its line terminator. */
  static final int MAX_LINE_BYTES = 1 << 20;

  private static final byte[] DATA = {'d', 'a', 't', 'a', ':'};
  private static final byte[] DONE = {'[', 'D', 'O', 'N', 'E', ']'};
  private static final int MIN_LINE_BUFFER_BYTES = 512;
  private static final long NO_VERSION = Long.MIN_VALUE;
  private static final JsonFactory FACTORY = Json.mapper().getFactory();

  /** Receives the parsed events. */
  interface Sink {
    /** Called for a chunk with tokens. */
    void onTokens(String text, int tokens, long weightVersion);

    /** Called at the end marker. */
    void onDone(String finishReason);

    /** Called when the engine reports an error in the stream. */
    void onError(String message);
  }

  /** Thrown when the stream violates the protocol. */
  static final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final EngineFailure.Kind kind;

    ProtocolException(EngineFailure.Kind kind, String message) {
      super(message, null, false, false);
      this.kind = kind;
    }

    EngineFailure.Kind kind() {
      return kind;
    }
  }

  private final Sink sink;
  private byte[] lineBuffer = new byte[0];
  private int bufferedBytes;
  private String finishReason;
  private boolean done;
  private boolean failed;

  private String text;
  private long tokens;
  private long version;
  private String error;

  EngineStreamParser(Sink sink) {
    this.sink = sink;
  }

  /**
   * Parses a part of the stream.
   *
   * @param part the bytes; all of them are consumed
   * @throws ProtocolException at the first protocol violation; later parts are ignored
   */
  void parse(ByteBuf part) {
    if (failed) {
      return;
    }
    try {
      parseLines(part);
    } catch (ProtocolException e) {
      failed = true;
      throw e;
    }
  }

  private void parseLines(ByteBuf part) {
    while (part.isReadable()) {
      int length = part.bytesBefore((byte) '\n');
      if (length < 0) {
        bufferLine(part, part.readableBytes());
        return;
      }
      if (bufferedBytes == 0 && part.hasArray()) {
        checkLength(length);
        parseLine(part.array(), part.arrayOffset() + part.readerIndex(), length);
        part.skipBytes(length + 1);
      } else {
        bufferLine(part, length);
        part.skipBytes(1);
        int lineBytes = bufferedBytes;
        bufferedBytes = 0;
        parseLine(lineBuffer, 0, lineBytes);
      }
    }
  }

  private void bufferLine(ByteBuf part, int length) {
    checkLength(bufferedBytes + length);
    if (lineBuffer.length < bufferedBytes + length) {
      byte[] larger = new byte[Math.max(MIN_LINE_BUFFER_BYTES, 2 * (bufferedBytes + length))];
      System.arraycopy(lineBuffer, 0, larger, 0, bufferedBytes);
      lineBuffer = larger;
    }
    part.readBytes(lineBuffer, bufferedBytes, length);
    bufferedBytes += length;
  }

  private static void checkLength(int length) {
    if (length > MAX_LINE_BYTES) {
      throw new ProtocolException(
          EngineFailure.Kind.TOO_LARGE,
          "a line of the stream is longer than " + MAX_LINE_BYTES + " bytes");
    }
  }

  private void parseLine(byte[] bytes, int start, int length) {
    int end = start + length;
    if (end > start && bytes[end - 1] == '\r') {
      end--;
    }
    if (end == start || !startsWith(bytes, start, end, DATA)) {
      return;
    }
    if (done) {
      throw malformed("data follows the end marker");
    }
    int from = start + DATA.length;
    if (from < end && bytes[from] == ' ') {
      from++;
    }
    if (end - from == DONE.length && startsWith(bytes, from, end, DONE)) {
      onDoneMarker();
    } else {
      parseEvent(bytes, from, end - from);
    }
  }

  private static boolean startsWith(byte[] bytes, int start, int end, byte[] expected) {
    if (end - start < expected.length) {
      return false;
    }
    for (int i = 0; i < expected.length; i++) {
      if (bytes[start + i] != expected[i]) {
        return false;
      }
    }
    return true;
  }

  private void onDoneMarker() {
    if (finishReason == null) {
      throw malformed("the end marker follows no finish reason");
    }
    done = true;
    sink.onDone(finishReason);
  }

  private void parseEvent(byte[] bytes, int offset, int length) {
    if (finishReason != null) {
      throw malformed("an event follows the finish reason");
    }
    text = "";
    tokens = 0;
    version = NO_VERSION;
    error = null;
    try (JsonParser json = FACTORY.createParser(bytes, offset, length)) {
      readEvent(json);
    } catch (IOException e) {
      throw malformed("an event is not valid JSON or has a field out of range");
    }
    reportEvent();
  }

  private void reportEvent() {
    if (error != null) {
      sink.onError(error);
      return;
    }
    if (tokens < 0 || tokens > Integer.MAX_VALUE || (tokens == 0 && !text.isEmpty())) {
      throw malformed("the number of tokens is out of range or is 0 for a non-empty text");
    }
    if (tokens > 0) {
      if (version < 0) {
        throw malformed("an event with tokens has no valid weight version");
      }
      sink.onTokens(text, (int) tokens, version);
    }
  }

  private void readEvent(JsonParser json) throws IOException {
    require(json.nextToken() == JsonToken.START_OBJECT, "an event is not an object");
    String name;
    while ((name = json.nextFieldName()) != null) {
      switch (name) {
        case "choices" -> readChoices(json);
        case "tokens" -> tokens = readLong(json);
        case "weight_version" -> readVersion(json);
        case "error" -> readError(json);
        default -> skipValue(json);
      }
    }
    require(json.currentToken() == JsonToken.END_OBJECT, "an event is not an object");
    require(json.nextToken() == null, "an event has more than one JSON value");
  }

  private void readVersion(JsonParser json) throws IOException {
    if (json.nextToken() != JsonToken.VALUE_NULL) {
      require(
          json.currentToken() == JsonToken.VALUE_NUMBER_INT,
          "field weight_version is not an integer");
      version = json.getLongValue();
    }
  }

  private static long readLong(JsonParser json) throws IOException {
    require(json.nextToken() == JsonToken.VALUE_NUMBER_INT, "field tokens is not an integer");
    return json.getLongValue();
  }

  private void readChoices(JsonParser json) throws IOException {
    require(json.nextToken() == JsonToken.START_ARRAY, "field choices is not a list");
    require(
        json.nextToken() == JsonToken.START_OBJECT, "field choices does not begin with an object");
    String name;
    while ((name = json.nextFieldName()) != null) {
      switch (name) {
        case "text" -> text = readText(json, "");
        case "finish_reason" -> finishReason = readText(json, null);
        default -> skipValue(json);
      }
    }
    require(json.nextToken() == JsonToken.END_ARRAY, "field choices has more than one element");
  }

  private static String readText(JsonParser json, String defaultValue) throws IOException {
    JsonToken token = json.nextToken();
    if (token == JsonToken.VALUE_NULL) {
      return defaultValue;
    }
    require(token == JsonToken.VALUE_STRING, "field text or finish_reason is not a string");
    return json.getText();
  }

  private void readError(JsonParser json) throws IOException {
    json.nextToken();
    json.skipChildren();
    error = "the engine reported an error in the stream";
  }

  private static void skipValue(JsonParser json) throws IOException {
    json.nextToken();
    json.skipChildren();
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw malformed(message);
    }
  }

  private static ProtocolException malformed(String message) {
    return new ProtocolException(EngineFailure.Kind.MALFORMED, message);
  }
}
