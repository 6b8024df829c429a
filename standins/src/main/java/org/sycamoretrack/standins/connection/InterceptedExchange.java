package org.sycamoretrack.standins.connection;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sycamoretrack.standins.process.Fault;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;
import org.sycamoretrack.transport.request.HttpResponseStream;

/**
 * An exchange whose response is observed, replaced or corrupted after the handler has processed the
 * request. The request therefore takes effect regardless of the response that the client receives.
 */
public final class InterceptedExchange implements HttpExchange {
  private static final byte[] PADDING = padding();
  private static final byte[] MALFORMED = "{\"broken\": [".getBytes(StandardCharsets.UTF_8);

  private final HttpExchange exchange;
  private final Fault fault;
  private final HttpResponse replacement;
  private final Consumer<HttpResponse> observer;

  private InterceptedExchange(
      HttpExchange exchange,
      Fault fault,
      HttpResponse replacement,
      Consumer<HttpResponse> observer) {
    this.exchange = exchange;
    this.fault = fault;
    this.replacement = replacement;
    this.observer = observer;
  }

  /**
   * Returns an exchange that injects a fault into the response.
   *
   * @param exchange the request
   * @param fault the fault
   */
  public static HttpExchange withFault(HttpExchange exchange, Fault fault) {
    return new InterceptedExchange(exchange, fault, null, null);
  }

  /**
   * Returns an exchange that replaces the response.
   *
   * @param exchange the request
   * @param replacement the response to send, or null to send the original one
   */
  public static HttpExchange withReplacement(HttpExchange exchange, HttpResponse replacement) {
    return new InterceptedExchange(exchange, null, replacement, null);
  }

  /**
   * Returns an exchange that passes the response to an observer before sending it.
   *
   * @param exchange the request
   * @param observer receives the response
   */
  public static HttpExchange withObserver(HttpExchange exchange, Consumer<HttpResponse> observer) {
    return new InterceptedExchange(exchange, null, null, observer);
  }

  @Override
  public void respond(HttpResponse response) {
    if (observer != null) {
      observer.accept(response);
    }
    if (fault == null) {
      exchange.respond(replacement == null ? response : replacement);
      return;
    }
    switch (fault.kind()) {
      case LOST_ANSWER -> exchange.abort();
      case STALLED -> {
        // No byte is sent and the connection stays open.
      }
      case REORDERED ->
          eventLoop()
              .schedule(() -> exchange.respond(response), fault.delayMs(), TimeUnit.MILLISECONDS);
      case CUT_OFF -> {
        HttpResponseStream stream = exchange.startStream(response.status(), response.headers());
        stream.write(Arrays.copyOf(response.body(), response.body().length / 2));
        stream.abort();
      }
      case TRUNCATED, MALFORMED ->
          exchange.respond(new HttpResponse(response.status(), response.headers(), MALFORMED));
      case OVERSIZED -> {
        HttpResponseStream stream = exchange.startStream(response.status(), response.headers());
        stream.write(response.body());
        writePadding(stream);
        stream.end();
      }
      default -> exchange.respond(response);
    }
  }

  private static byte[] padding() {
    byte[] bytes = new byte[1 << 16];
    Arrays.fill(bytes, (byte) ' ');
    return bytes;
  }

  private void writePadding(HttpResponseStream stream) {
    for (int sent = 0; sent < fault.sizeBytes(); sent += PADDING.length) {
      stream.write(PADDING);
    }
  }

  @Override
  public HttpResponseStream startStream(int status, Map<String, String> headers) {
    HttpResponseStream stream = exchange.startStream(status, headers);
    return fault == null ? stream : new FaultyStream(stream);
  }

  /** A stream that forwards {@code afterChunks} chunks and then injects the fault. */
  private final class FaultyStream implements HttpResponseStream {
    private final HttpResponseStream stream;
    private int chunks;

    FaultyStream(HttpResponseStream stream) {
      this.stream = stream;
    }

    @Override
    public void write(byte[] part) {
      chunks++;
      if (chunks <= fault.afterChunks()) {
        stream.write(part);
      } else if (chunks == fault.afterChunks() + 1) {
        injectFault(part);
      }
    }

    private void injectFault(byte[] part) {
      switch (fault.kind()) {
        case LOST_ANSWER, CUT_OFF -> stream.abort();
        case TRUNCATED -> stream.end();
        case MALFORMED -> {
          stream.write("data: ".getBytes(StandardCharsets.UTF_8));
          stream.write(MALFORMED);
          stream.write("\n\n".getBytes(StandardCharsets.UTF_8));
          stream.end();
        }
        case OVERSIZED -> {
          stream.write("data: ".getBytes(StandardCharsets.UTF_8));
          writePadding(stream);
          stream.write(part);
          stream.end();
        }
        default -> {
          // No more bytes are sent and the connection stays open.
        }
      }
    }

    @Override
    public void end() {
      if (chunks <= fault.afterChunks()) {
        chunks = fault.afterChunks() + 1;
        injectFault(new byte[0]);
      }
    }

    @Override
    public void abort() {
      stream.abort();
    }

    @Override
    public boolean isWritable() {
      return stream.isWritable();
    }

    @Override
    public void onWritable(Runnable action) {
      stream.onWritable(action);
    }
  }

  @Override
  public String method() {
    return exchange.method();
  }

  @Override
  public String path() {
    return exchange.path();
  }

  @Override
  public String target() {
    return exchange.target();
  }

  @Override
  public String queryParam(String name) {
    return exchange.queryParam(name);
  }

  @Override
  public HttpHeaders headers() {
    return exchange.headers();
  }

  @Override
  public byte[] body() {
    return exchange.body();
  }

  @Override
  public EventLoop eventLoop() {
    return exchange.eventLoop();
  }

  @Override
  public void onClientDisconnect(Runnable action) {
    exchange.onClientDisconnect(action);
  }

  @Override
  public void abort() {
    exchange.abort();
  }
}
