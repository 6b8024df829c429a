package org.sycamoretrack.core.request;

import java.util.Arrays;
import java.util.Map;

/**
 * The response to a call with an idempotency key, kept so that a repeated call gets the same
 * response. Immutable.
 */
public final class RecordedResponse {
  /** The size of the largest body that is kept. */
  public static final int MAX_BODY_BYTES = 32 << 10;

  private static final byte[] NO_BODY = {};

  private final int status;
  private final Map<String, String> headers;
  private final byte[] body;
  private final boolean bodyKept;

  private RecordedResponse(int status, Map<String, String> headers, byte[] body, boolean bodyKept) {
    this.status = status;
    this.headers = Map.copyOf(headers);
    this.body = body;
    this.bodyKept = bodyKept;
  }

  /**
   * Records a response. A body larger than {@link #MAX_BODY_BYTES} is omitted.
   *
   * @param status the HTTP status code
   * @param headers the headers to replay
   * @param body the body, which must not be modified afterwards
   */
  public static RecordedResponse of(int status, Map<String, String> headers, byte[] body) {
    boolean kept = body.length <= MAX_BODY_BYTES;
    return new RecordedResponse(status, headers, kept ? body : NO_BODY, kept);
  }

  /**
   * Records that the call was executed and had a response whose body is not kept.
   *
   * @param status the HTTP status code
   * @param headers the headers to replay
   */
  public static RecordedResponse withoutBody(int status, Map<String, String> headers) {
    return new RecordedResponse(status, headers, NO_BODY, false);
  }

  /** Returns the HTTP status code. */
  public int status() {
    return status;
  }

  /** Returns the headers to replay. */
  public Map<String, String> headers() {
    return headers;
  }

  /** Returns the body, which must not be modified; empty if it was not kept. */
  public byte[] body() {
    return body;
  }

  /** Returns whether {@link #body()} is the original body; false if that was not kept. */
  public boolean isBodyKept() {
    return bodyKept;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RecordedResponse that
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
    return "RecordedResponse[" + status + ", " + body.length + " bytes]";
  }
}
