package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.sycamoretrack.core.request.RequestClass;
import org.sycamoretrack.daemon.client.CompletionRequest;
import org.sycamoretrack.daemon.client.EngineClient;
import org.sycamoretrack.daemon.client.EngineFailure;
import org.sycamoretrack.daemon.client.EngineListener;
import org.sycamoretrack.daemon.process.NodeLimits;
import org.sycamoretrack.transport.request.HttpCall;

/**
 * One attempt of a request at one endpoint, from its entry into the queue to its end. Confined to
 * the event loop of its {@link EndpointWorker}.
 */
final class EndpointAttempt implements EngineListener {
  private static final double NANOS_PER_MS = 1_000_000.0;
  private static final AtomicLong ATTEMPT_COUNTER = new AtomicLong();

  private final EndpointWorker worker;
  private final GenerationRequest request;
  private final GenerationListener listener;
  private HttpCall call;
  private GenerationFailure pendingFailure;
  private long lastProgressNanos;
  private boolean tokensSeen;
  private boolean ended;

  EndpointAttempt(EndpointWorker worker, GenerationRequest request, GenerationListener listener) {
    this.worker = worker;
    this.request = request;
    this.listener = listener;
  }

  GenerationRequest request() {
    return request;
  }

  String fingerprint() {
    return request.fingerprint();
  }

  /**
   * Returns whether a crash of the endpoint counts against the request. It doesn't for the samples
   * of a step, which are owed to the trainer and therefore sent until they are generated.
   */
  boolean countsCrashes() {
    return request.requestClass() != RequestClass.ROLLOUT;
  }

  boolean isEnded() {
    return ended;
  }

  /** Sends the attempt to the engine. */
  void send(EngineClient client, EndpointTarget target, NodeLimits limits, EventLoop loop) {
    lastProgressNanos = System.nanoTime();
    long remainingMs = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - lastProgressNanos);
    CompletionRequest completion =
        CompletionRequest.builder(request.id() + '.' + ATTEMPT_COUNTER.incrementAndGet())
            .model(target.model())
            .prompt(request.prompt())
            .maxTokens(request.maxTokens())
            .seed(request.seed())
            .continueFrom(request.priorText(), request.priorTokens())
            .timeoutMs(Math.clamp(remainingMs, 1, Integer.MAX_VALUE))
            .idleTimeoutMs(limits.streamIdleTimeoutMs())
            .build();
    call = client.complete(target.address(), completion, loop, this);
  }

  @Override
  public void onTokens(String text, int tokens, long weightVersion) {
    if (ended) {
      return;
    }
    long nowNanos = System.nanoTime();
    worker.onTokens(
        this, (nowNanos - lastProgressNanos) / NANOS_PER_MS, !tokensSeen, tokens, weightVersion);
    lastProgressNanos = nowNanos;
    tokensSeen = true;
    listener.onTokens(text, tokens, weightVersion);
  }

  @Override
  public void onFinished(String finishReason) {
    worker.onFinished(this, finishReason);
  }

  @Override
  public void onFailed(EngineFailure failure) {
    worker.onFailed(this, failure);
  }

  /** Notifies the listener that generation has finished. */
  void finish(String finishReason) {
    if (!ended) {
      ended = true;
      listener.onFinished(finishReason);
    }
  }

  /** Stores a failure that is reported later. */
  void setPendingFailure(GenerationFailure failure) {
    this.pendingFailure = failure;
  }

  /** Reports the stored failure to the listener. */
  void failWithPending(boolean endpointCrashed) {
    fail(
        new GenerationFailure(
            pendingFailure.code(),
            pendingFailure.outcome(),
            endpointCrashed,
            pendingFailure.message()));
  }

  /** Reports a failure to the listener. */
  void fail(GenerationFailure failure) {
    if (!ended) {
      ended = true;
      listener.onFailed(failure);
    }
  }

  /** Ends the attempt without notifying the listener. */
  void endSilently() {
    ended = true;
  }

  void cancelCall() {
    if (call != null) {
      call.cancel();
    }
  }
}
