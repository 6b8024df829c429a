package org.sycamoretrack.transport.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the parts of a response, all on the event loop of the call.
 *
 * <p>Exactly one of {@link #onEnd} and {@link #onFailure} is called, and nothing after it.
 */
public interface HttpResponseListener {
  /**
   * Called when the status and headers have been received.
   *
   * @param status the HTTP status code
   * @param headers the headers
   */
  void onHead(int status, HttpHeaders headers);

  /**
   * Called for each part of the body.
   *
   * @param part the bytes, valid only until this method returns
   * @throws HttpException to fail the call and close its connection
   */
  void onBody(ByteBuf part);

  /** Called when the response is complete. */
  void onEnd();

  /**
   * Called when the response failed or is incomplete.
   *
   * @param failure the cause
   */
  void onFailure(HttpException failure);
}
