package org.sycamoretrack.transport.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import org.sycamoretrack.transport.request.HttpCall;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpResponse;
import org.sycamoretrack.transport.request.HttpResponseListener;

/** Collects a response in memory, up to a maximum body size. */
final class ResponseCollector implements HttpResponseListener {
  private final BiConsumer<HttpResponse, HttpException> onOutcome;
  private final int maxBytes;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final Map<String, String> headers = new HashMap<>();
  private HttpCall call;
  private int status;
  private boolean finished;

  ResponseCollector(BiConsumer<HttpResponse, HttpException> onOutcome, int maxBytes) {
    this.onOutcome = onOutcome;
    this.maxBytes = maxBytes;
  }

  void setCall(HttpCall call) {
    this.call = call;
  }

  @Override
  public void onHead(int status, HttpHeaders headers) {
    this.status = status;
    headers.forEach(
        header -> this.headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
  }

  @Override
  public void onBody(ByteBuf part) {
    if (body.size() + part.readableBytes() > maxBytes) {
      finish(
          null,
          new HttpException(
              HttpException.Kind.TOO_LARGE,
              true,
              "the response body size in bytes exceeds " + maxBytes));
      call.cancel();
      return;
    }
    try {
      part.readBytes(body, part.readableBytes());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void onEnd() {
    finish(new HttpResponse(status, Map.copyOf(headers), body.toByteArray()), null);
  }

  @Override
  public void onFailure(HttpException failure) {
    finish(null, failure);
  }

  private void finish(HttpResponse response, HttpException failure) {
    if (!finished) {
      finished = true;
      onOutcome.accept(response, failure);
    }
  }
}
