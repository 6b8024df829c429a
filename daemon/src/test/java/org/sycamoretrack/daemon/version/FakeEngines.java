package org.sycamoretrack.daemon.version;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.sycamoretrack.daemon.client.CompletionRequest;
import org.sycamoretrack.daemon.client.EngineClient;
import org.sycamoretrack.daemon.client.EngineListener;
import org.sycamoretrack.transport.request.HttpCall;

/**
 * Engines that respond and load immediately, and record accepted load commands with their times.
 */
final class FakeEngines implements EngineClient {
  /** An accepted load command and the time of its acceptance. */
  record Accepted(EngineLoadCommand command, long atMs) {}

  final List<Accepted> accepted = new ArrayList<>();
  private final Map<Integer, Long> versions = new TreeMap<>();
  private final Map<Integer, Long> fences = new TreeMap<>();
  private final boolean checksFence;
  private final LongSupplier nowMs;

  FakeEngines(boolean checksFence, LongSupplier nowMs) {
    this.checksFence = checksFence;
    this.nowMs = nowMs;
  }

  long version(int port) {
    return versions.getOrDefault(port, 1L);
  }

  void setFence(int port, long fence) {
    fences.put(port, fence);
  }

  @Override
  public HttpCall complete(
      InetSocketAddress address,
      CompletionRequest request,
      EventLoop loop,
      EngineListener listener) {
    listener.onTokens(" t", 1, version(address.getPort()));
    listener.onFinished("length");
    return null;
  }

  @Override
  public CompletionStage<Void> cancel(InetSocketAddress address, String requestId) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletionStage<EngineLoadReport> loadReport(InetSocketAddress address) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletionStage<Weights> weights(InetSocketAddress address) {
    int port = address.getPort();
    return CompletableFuture.completedFuture(
        new Weights(version(port), NOT_LOADING, fences.getOrDefault(port, 0L)));
  }

  @Override
  public CompletionStage<EngineLoadCommandResponse> sendLoadCommand(
      InetSocketAddress address, EngineLoadCommand command) {
    int port = address.getPort();
    if (checksFence && command.fence() < fences.getOrDefault(port, 0L)) {
      return CompletableFuture.completedFuture(EngineLoadCommandResponse.STALE_FENCE);
    }
    fences.merge(port, command.fence(), Math::max);
    versions.put(port, command.version());
    accepted.add(new Accepted(command, nowMs.getAsLong()));
    return CompletableFuture.completedFuture(EngineLoadCommandResponse.ACCEPTED);
  }
}
