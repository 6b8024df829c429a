package org.sycamoretrack.transport.connection;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;

/**
 * Searches a body for the beginning of a status line, which is there if the response broke off and
 * the bytes of another one were taken for the rest of its body.
 */
final class StatusLineScan {
  private static final byte[] BEGINNING = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private final ByteProcessor processor = this::process;
  private int matched;
  private boolean found;

  /** Scans the next part of the body without consuming it. */
  void scan(ByteBuf part) {
    if (!found) {
      part.forEachByte(processor);
    }
  }

  private boolean process(byte value) {
    if (value == BEGINNING[matched]) {
      matched++;
    } else {
      matched = value == BEGINNING[0] ? 1 : 0;
    }
    found = matched == BEGINNING.length;
    return !found;
  }

  /** Returns whether the body contains a beginning of a status line, or ends within one. */
  boolean mayContainStatusLine() {
    return found || matched > 0;
  }
}
