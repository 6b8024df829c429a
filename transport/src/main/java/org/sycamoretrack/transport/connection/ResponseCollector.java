package org.sycamoretrack.transport.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import org.sycamoretrack.core.connection.MemoryBudget;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpResponse;
import org.sycamoretrack.transport.request.HttpResponseListener;

/**
 * Collects a response in memory, up to the maximum size of its body and to what a {@link
 * MemoryBudget} allows.
 *
 * <p>The buffer of the body doubles, but not beyond a length that the head declares. Its whole
 * capacity is reserved, that of the old and the new buffer while bytes are copied. Nothing is
 * reserved after the outcome.
 */
final class ResponseCollector implements HttpResponseListener {
  private static final int MIN_CAPACITY_BYTES = 1 << 10;

  private final BiConsumer<HttpResponse, HttpException> onOutcome;
  private final int maxBytes;
  private final MemoryBudget budget;
  private final Map<String, String> headers = new HashMap<>();
  private byte[] body = {};
  private int bodyBytes;
  private int declaredBytes;
  private int status;

  ResponseCollector(
      BiConsumer<HttpResponse, HttpException> onOutcome, int maxBytes, MemoryBudget budget) {
    this.onOutcome = onOutcome;
    this.maxBytes = maxBytes;
    this.budget = budget;
  }

  @Override
  public void onHead(int status, HttpHeaders headers) {
    this.status = status;
    headers.forEach(
        header -> this.headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
    declaredBytes = declaredBytes(headers);
  }

  /** Returns the length that the head declares, at most one more than the maximum. */
  private int declaredBytes(HttpHeaders headers) {
    String value = headers.get(HttpHeaderNames.CONTENT_LENGTH);
    try {
      return value == null ? 0 : (int) Math.clamp(Long.parseLong(value.strip()), 0, maxBytes + 1L);
    } catch (NumberFormatException e) {
      // The decoder rejects such a response.
      return 0;
    }
  }

  @Override
  public void onBody(ByteBuf part) {
    int partBytes = part.readableBytes();
    if (Math.max(declaredBytes, bodyBytes + (long) partBytes) > maxBytes) {
      throw tooLarge("the response body size in bytes exceeds " + maxBytes);
    }
    if (bodyBytes + partBytes > body.length) {
      grow(bodyBytes + partBytes);
    }
    part.readBytes(body, bodyBytes, partBytes);
    bodyBytes += partBytes;
  }

  private void grow(int minCapacity) {
    int doubled = Math.max(MIN_CAPACITY_BYTES, Math.max(minCapacity, 2 * body.length));
    int capacity = declaredBytes >= minCapacity ? Math.min(doubled, declaredBytes) : doubled;
    if (!budget.tryReserve(body.length, capacity)) {
      throw tooLarge("the responses in progress leave no memory for more than " + bodyBytes);
    }
    int releasedBytes = body.length;
    body = Arrays.copyOf(body, capacity);
    budget.release(releasedBytes);
  }

  private static HttpException tooLarge(String message) {
    return new HttpException(HttpException.Kind.TOO_LARGE, true, message);
  }

  @Override
  public void onEnd() {
    byte[] collected = bodyBytes == body.length ? body : Arrays.copyOf(body, bodyBytes);
    budget.release(body.length);
    onOutcome.accept(new HttpResponse(status, Map.copyOf(headers), collected), null);
  }

  @Override
  public void onFailure(HttpException failure) {
    budget.release(body.length);
    body = new byte[0];
    onOutcome.accept(null, failure);
  }
}
