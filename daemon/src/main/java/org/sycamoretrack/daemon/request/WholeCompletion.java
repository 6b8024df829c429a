package org.sycamoretrack.daemon.request;

import java.util.function.Consumer;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.VersionSpanCollector;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Collects a completion and sends it as a single response. Confined to the event loop of its call.
 */
final class WholeCompletion implements CompletionResponder {
  private final CompletionCall call;
  private final Consumer<HttpResponse> responseListener;
  private Consumer<SycamoreException> failureListener;
  private final StringBuilder text = new StringBuilder();
  private final VersionSpanCollector spans = new VersionSpanCollector();

  /**
   * Creates a responder.
   *
   * @param call the call
   * @param responseListener receives the complete response, and error responses unless {@link
   *     #onFailure} is set
   */
  WholeCompletion(CompletionCall call, Consumer<HttpResponse> responseListener) {
    this.call = call;
    this.responseListener = responseListener;
    this.failureListener = error -> responseListener.accept(ErrorResponses.response(error));
  }

  /** Sets the listener that receives the error of a failed call. */
  void onFailure(Consumer<SycamoreException> listener) {
    failureListener = listener;
  }

  @Override
  public void onTokens(String newText, int tokens, long version) {
    text.append(newText);
    spans.append(version, tokens);
  }

  @Override
  public void onFinished(String finishReason) {
    responseListener.accept(
        HttpResponse.json(200, call.responseBody(text.toString(), finishReason, spans.toList())));
  }

  @Override
  public void onFailed(GenerationFailure failure) {
    failureListener.accept(failure.toException());
  }
}
