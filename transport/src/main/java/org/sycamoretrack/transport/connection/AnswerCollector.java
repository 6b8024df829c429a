package org.sycamoretrack.transport.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpFailure;
import org.sycamoretrack.transport.request.HttpResponseListener;

/** Collects the parts of an answer, up to a limit. */
final class AnswerCollector implements HttpResponseListener {
  private final CompletableFuture<HttpAnswer> future;
  private final int maxBytes;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final Map<String, String> headers = new HashMap<>();
  private int status;

  AnswerCollector(CompletableFuture<HttpAnswer> future, int maxBytes) {
    this.future = future;
    this.maxBytes = maxBytes;
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
      future.completeExceptionally(
          new HttpFailure(HttpFailure.Kind.TOO_LARGE, true, "the answer is over " + maxBytes));
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
    future.complete(new HttpAnswer(status, Map.copyOf(headers), body.toByteArray()));
  }

  @Override
  public void onFailure(HttpFailure failure) {
    future.completeExceptionally(failure);
  }
}
