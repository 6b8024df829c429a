package org.sycamoretrack.core.request;

import java.util.Arrays;
import java.util.Map;

/** The answer to a keyed call, kept so that a repetition gets the same one. Immutable. */
public final class RecordedAnswer {
  /** The longest body that is kept. */
  public static final int MAX_BODY_BYTES = 32 << 10;

  private static final byte[] NO_BODY = {};

  private final int status;
  private final Map<String, String> headers;
  private final byte[] body;
  private final boolean bodyKept;

  private RecordedAnswer(int status, Map<String, String> headers, byte[] body, boolean bodyKept) {
    this.status = status;
    this.headers = Map.copyOf(headers);
    this.body = body;
    this.bodyKept = bodyKept;
  }

  /**
   * Records an answer; a body over {@link #MAX_BODY_BYTES} is left out.
   *
   * @param status the HTTP status code
   * @param headers the headers to give again
   * @param body the body, which must not be changed afterwards
   */
  public static RecordedAnswer of(int status, Map<String, String> headers, byte[] body) {
    boolean kept = body.length <= MAX_BODY_BYTES;
    return new RecordedAnswer(status, headers, kept ? body : NO_BODY, kept);
  }

  /**
   * Records that the call ran and was answered with a body that is not kept.
   *
   * @param status the HTTP status code
   * @param headers the headers to give again
   */
  public static RecordedAnswer withoutBody(int status, Map<String, String> headers) {
    return new RecordedAnswer(status, headers, NO_BODY, false);
  }

  /** Returns the HTTP status code. */
  public int status() {
    return status;
  }

  /** Returns the headers. */
  public Map<String, String> headers() {
    return headers;
  }

  /** Returns the body, which must not be changed; empty when it was not kept. */
  public byte[] body() {
    return body;
  }

  /** Returns whether the body is the one that was answered; false when it was too long to keep. */
  public boolean isBodyKept() {
    return bodyKept;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RecordedAnswer that
        && status == that.status
        && bodyKept == that.bodyKept
        && headers.equals(that.headers)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return 31 * status + Arrays.hashCode(body);
  }

  @Override
  public String toString() {
    return "RecordedAnswer[" + status + ", " + body.length + " bytes]";
  }
}
