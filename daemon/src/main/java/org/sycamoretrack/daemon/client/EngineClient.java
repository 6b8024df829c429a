package org.sycamoretrack.daemon.client;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.transport.request.HttpCall;

/**
 * Calls to model engines.
 *
 * <p>The stages fail with a {@link org.sycamoretrack.core.process.SycamoreException}: code {@code
 * ENDPOINT_FAILED}, outcome {@code NOT_RUN} when the engine can't have received the call.
 */
public interface EngineClient {
  /**
   * The load that an engine reports. It describes a moment in the past, {@link #asOfMs}.
   *
   * @param running the number of streams in the current batch
   * @param waiting the number of queued streams
   * @param kvUsedShare the used fraction of the KV cache, 0 to 1
   * @param weightVersion the version of the weights that the engine served
   * @param leaving whether the engine is about to shut down
   * @param asOfMs when the load was measured, in milliseconds since the epoch by the engine's clock
   */
  record EngineLoadReport(
      int running,
      int waiting,
      double kvUsedShare,
      long weightVersion,
      boolean leaving,
      long asOfMs) {}

  /** The value of {@link Weights#loading} when no load is in progress. */
  long NOT_LOADING = -1;

  /**
   * The weights of an engine.
   *
   * @param version the served version
   * @param loading the version that is being loaded, or {@link #NOT_LOADING}
   * @param fence the highest fencing token that the engine has received
   */
  record Weights(long version, long loading, long fence) {}

  /**
   * A command to load a version of the weights.
   *
   * @param commandId identifies the command in logs
   * @param version the version to load
   * @param fence the sender's fencing token
   * @param nodeId the node that sends the command
   */
  record EngineLoadCommand(String commandId, long version, long fence, String nodeId) {}

  /**
   * An engine's response to a load command. Neither value guarantees which version is served
   * afterwards.
   */
  enum EngineLoadCommandResponse {
    /** The engine accepted the command. */
    ACCEPTED,
    /** The engine has received a higher fencing token and refused. */
    STALE_FENCE
  }

  /**
   * Opens a completion stream.
   *
   * @param address the engine
   * @param request what to generate
   * @param loop the event loop that runs the call, or null for any
   * @param listener receives tokens and the end of the stream, on the event loop
   * @return the call, which can be cancelled and whose reading can be paused
   */
  HttpCall complete(
      InetSocketAddress address,
      CompletionRequest request,
      EventLoop loop,
      EngineListener listener);

  /**
   * Cancels a stream by its request id, on whichever connection it was opened.
   *
   * @param address the engine
   * @param requestId the id of the {@link CompletionRequest}
   * @return a stage that completes when the engine has responded
   */
  CompletionStage<Void> cancel(InetSocketAddress address, String requestId);

  /**
   * Reads the load report.
   *
   * @param address the engine
   * @return the report
   */
  CompletionStage<EngineLoadReport> loadReport(InetSocketAddress address);

  /**
   * Reads the state of the weights.
   *
   * @param address the engine
   * @return the weights
   */
  CompletionStage<Weights> weights(InetSocketAddress address);

  /**
   * Sends a command to load weights.
   *
   * @param address the engine
   * @param command the command
   * @return the engine's response
   */
  CompletionStage<EngineLoadCommandResponse> sendLoadCommand(
      InetSocketAddress address, EngineLoadCommand command);
}
