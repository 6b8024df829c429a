package org.sycamoretrack.transport.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the parts of an answer, all on the event loop of the call.
 *
 * <p>Exactly one of {@link #onEnd} and {@link #onFailure} is called, and nothing after it.
 */
public interface HttpResponseListener {
  /**
   * Called when status and headers have arrived.
   *
   * @param status the HTTP status code
   * @param headers the headers
   */
  void onHead(int status, HttpHeaders headers);

  /**
   * Called for each part of the body.
   *
   * @param part the bytes, valid during the call only
   */
  void onBody(ByteBuf part);

  /** Called when the answer has ended with its end marker. */
  void onEnd();

  /**
   * Called when the answer can't be had whole.
   *
   * @param failure the reason
   */
  void onFailure(HttpFailure failure);
}
