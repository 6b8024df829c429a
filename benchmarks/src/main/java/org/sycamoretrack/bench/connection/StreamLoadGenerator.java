package org.sycamoretrack.bench.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponseListener;

/**
 * Sends streaming completion requests to one address and measures their latency.
 *
 * <p>Supports open-loop load, where the caller sends at its own rate to measure latency, and
 * closed-loop load with a fixed number of requests in flight to measure throughput.
 */
public final class StreamLoadGenerator {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int TIMEOUT_MS = 20_000;

  private final HttpClient client;
  private final EventLoopGroup loops;
  private final InetSocketAddress address;
  private final byte[] body;
  private final Histogram latencyUs = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private final AtomicLong failures = new AtomicLong();

  /**
   * Creates a load generator.
   *
   * @param loops the event loops of the calls
   * @param address the address of an engine or of a node's caller port
   * @param model the model or pool
   * @param maxTokens the number of tokens of each response
   */
  public StreamLoadGenerator(
      EventLoopGroup loops, InetSocketAddress address, String model, int maxTokens) {
    this.loops = loops;
    this.client = new HttpClient(loops, TIMEOUT_MS);
    this.address = address;
    this.body =
        Json.toBytes(
            Json.object()
                .put("model", model)
                .put("prompt", "overhead")
                .put("max_tokens", maxTokens)
                .put("seed", 1)
                .put("stream", true));
  }

  /** Returns the latencies of complete responses, in microseconds. */
  public Histogram latencyUs() {
    return latencyUs;
  }

  /** Returns the number of requests without a complete response. */
  public long failures() {
    return failures.get();
  }

  /** Resets all measurements. */
  public void reset() {
    latencyUs.reset();
    failures.set(0);
  }

  /** Sends one request and runs an action when it has ended. */
  public void send(Runnable whenEnded) {
    send(loops.next(), whenEnded);
  }

  private void send(EventLoop loop, Runnable whenEnded) {
    HttpRequest request =
        HttpRequest.builder("POST", address, "/v1/completions")
            .body(body)
            .timeoutMs(TIMEOUT_MS)
            .build();
    client.send(request, new ResponseTimer(whenEnded), loop);
  }

  /**
   * Keeps a fixed number of requests in flight for some time.
   *
   * @param concurrency the number of requests in flight
   * @param durationMs for how long new requests are sent, in milliseconds
   */
  public void saturate(int concurrency, long durationMs) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
    CountDownLatch ended = new CountDownLatch(concurrency);
    for (int i = 0; i < concurrency; i++) {
      new RequestLoop(loops.next(), endNanos, ended).next();
    }
    ended.await(durationMs + 2L * TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Sends the next request when the previous one has ended. */
  private final class RequestLoop {
    private final EventLoop loop;
    private final long endNanos;
    private final CountDownLatch ended;

    private RequestLoop(EventLoop loop, long endNanos, CountDownLatch ended) {
      this.loop = loop;
      this.endNanos = endNanos;
      this.ended = ended;
    }

    private void next() {
      if (System.nanoTime() - endNanos < 0) {
        loop.execute(() -> send(loop, this::next));
      } else {
        ended.countDown();
      }
    }
  }

  /** Measures one response and checks that it ends with the end marker. */
  private final class ResponseTimer implements HttpResponseListener {
    private static final byte[] END_MARKER = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private final Runnable whenEnded;
    private final long startNanos = System.nanoTime();
    private int status;
    private final byte[] tail = new byte[END_MARKER.length];

    private ResponseTimer(Runnable whenEnded) {
      this.whenEnded = whenEnded;
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
      this.status = status;
    }

    @Override
    public void onBody(ByteBuf part) {
      int copied = Math.min(tail.length, part.readableBytes());
      System.arraycopy(tail, copied, tail, 0, tail.length - copied);
      part.getBytes(part.writerIndex() - copied, tail, tail.length - copied, copied);
    }

    @Override
    public void onEnd() {
      if (status == 200 && Arrays.equals(tail, END_MARKER)) {
        latencyUs.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
      } else {
        failures.incrementAndGet();
      }
      whenEnded.run();
    }

    @Override
    public void onFailure(HttpException failure) {
      failures.incrementAndGet();
      whenEnded.run();
    }
  }
}
