package org.sycamoretrack.transport.connection;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import org.sycamoretrack.transport.request.HttpException;

/**
 * Decodes the responses of a connection and tells whether bytes remain after the last one.
 *
 * <p>A status is three digits from 100 to 599 (RFC 9110, section 15). A response with another one
 * can't be decoded, so that no status that HTTP doesn't define decides the outcome of a call. The
 * same applies to 101: no request asks for another protocol, and what follows it isn't HTTP.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");
  private static final String SWITCHING_PROTOCOLS = "101";

  private final BooleanSupplier bodiless;

  /**
   * Creates a decoder.
   *
   * @param bodiless returns whether the response that is due has no body, whatever its head says
   */
  ResponseDecoder(BooleanSupplier bodiless) {
    this.bodiless = bodiless;
  }

  /**
   * Creates the message of a status line.
   *
   * @param statusLine the version, the status and the reason
   * @throws HttpException if the status isn't valid
   */
  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    String status = statusLine[1];
    if (!STATUS.matcher(status).matches() || status.equals(SWITCHING_PROTOCOLS)) {
      throw new HttpException(
          HttpException.Kind.MALFORMED, true, "the status of the response is not valid");
    }
    return super.createMessage(statusLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return bodiless.getAsBoolean() || super.isContentAlwaysEmpty(message);
  }

  /** Returns whether bytes were received that are not decoded yet. */
  boolean hasRemainingBytes() {
    return actualReadableBytes() > 0;
  }
}
