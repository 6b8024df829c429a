package org.sycamoretrack.transport.connection;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.function.BooleanSupplier;

/** Decodes the responses of a connection and tells whether bytes remain after the last one. */
final class ResponseDecoder extends HttpResponseDecoder {
  private final BooleanSupplier bodiless;

  /**
   * Creates a decoder.
   *
   * @param bodiless returns whether the response that is due has no body, whatever its head says
   */
  ResponseDecoder(BooleanSupplier bodiless) {
    this.bodiless = bodiless;
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
