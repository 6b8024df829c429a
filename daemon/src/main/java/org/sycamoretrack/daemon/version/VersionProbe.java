package org.sycamoretrack.daemon.version;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.daemon.client.CompletionRequest;
import org.sycamoretrack.daemon.client.EngineClient;
import org.sycamoretrack.daemon.client.EngineFailure;
import org.sycamoretrack.daemon.client.EngineListener;

/**
 * A completion request of one token that finds out which version of the weights an engine serves.
 */
final class VersionProbe implements EngineListener {
  private static final String PROMPT = "weight version";
  private static final int TIMEOUT_MS = 2_000;

  private final CompletableFuture<Long> result = new CompletableFuture<>();
  private long version;

  private VersionProbe() {}

  /**
   * Sends a probe.
   *
   * @param engines the client
   * @param address the address of the engine
   * @param model the model of the engine
   * @param requestId the id of the request
   * @return the version that generated the token
   */
  static CompletionStage<Long> send(
      EngineClient engines, InetSocketAddress address, String model, String requestId) {
    VersionProbe probe = new VersionProbe();
    CompletionRequest request =
        CompletionRequest.builder(requestId)
            .model(model)
            .prompt(PROMPT)
            .maxTokens(1)
            .timeoutMs(TIMEOUT_MS)
            .build();
    engines.complete(address, request, null, probe);
    return probe.result;
  }

  @Override
  public void onTokens(String text, int tokens, long weightVersion) {
    version = weightVersion;
  }

  @Override
  public void onFinished(String finishReason) {
    result.complete(version);
  }

  @Override
  public void onFailed(EngineFailure failure) {
    result.completeExceptionally(failure.toException());
  }
}
