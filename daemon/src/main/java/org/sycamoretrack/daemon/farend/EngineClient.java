package org.sycamoretrack.daemon.farend;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.transport.request.HttpCall;

/**
 * Calls to model engines.
 *
 * <p>The stages fail with a {@link org.sycamoretrack.core.process.SycamoreException}: code {@code
 * ENDPOINT_FAILED}, outcome {@code NOT_RUN} when the call can't have reached the engine.
 */
public interface EngineClient {
  /**
   * An engine's load report, which is late.
   *
   * @param running the streams in its batch
   * @param waiting the streams that wait to get in
   * @param kvUsedShare the used share of its KV cache, 0 to 1
   * @param weightVersion the version that it served
   * @param leaving whether it is about to leave
   * @param asOfMs when the report was right, in milliseconds since the epoch by the engine's clock
   */
  record Load(
      int running,
      int waiting,
      double kvUsedShare,
      long weightVersion,
      boolean leaving,
      long asOfMs) {}

  /** The value of {@link Weights#loading} when no load is under way. */
  long NOT_LOADING = -1;

  /**
   * An engine's weights.
   *
   * @param version the version that it serves now
   * @param loading the version that is being loaded, or {@link #NOT_LOADING}
   * @param fence the highest fencing number that it has seen
   */
  record Weights(long version, long loading, long fence) {}

  /**
   * An order to load a version of the weights.
   *
   * @param orderId names the order in logs
   * @param version the version to load
   * @param fence the sender's fencing number
   * @param nodeId the sender
   */
  record LoadOrder(String orderId, long version, long fence, String nodeId) {}

  /** What an engine says to an order. Neither answer proves what is served afterwards. */
  enum OrderAnswer {
    /** The engine took the order. */
    ACCEPTED,
    /** The engine has seen a higher fencing number and refused. */
    STALE_FENCE
  }

  /**
   * Opens a completion stream.
   *
   * @param address the engine
   * @param request what to generate
   * @param loop the event loop that carries the call, or null for any
   * @param listener receives tokens and the end, on the event loop
   * @return the call, with the means to cancel it and to pause reading
   */
  HttpCall complete(
      InetSocketAddress address,
      CompletionRequest request,
      EventLoop loop,
      EngineListener listener);

  /**
   * Cancels a stream by the id of its request, whichever connection carries it.
   *
   * @param address the engine
   * @param requestId the id of the {@link CompletionRequest}
   * @return done when the engine has answered
   */
  CompletionStage<Void> cancel(InetSocketAddress address, String requestId);

  /**
   * Reads the load report.
   *
   * @param address the engine
   * @return the report
   */
  CompletionStage<Load> load(InetSocketAddress address);

  /**
   * Reads which weights are served.
   *
   * @param address the engine
   * @return the weights
   */
  CompletionStage<Weights> weights(InetSocketAddress address);

  /**
   * Orders a load of weights.
   *
   * @param address the engine
   * @param order the order
   * @return the engine's answer
   */
  CompletionStage<OrderAnswer> order(InetSocketAddress address, LoadOrder order);
}
