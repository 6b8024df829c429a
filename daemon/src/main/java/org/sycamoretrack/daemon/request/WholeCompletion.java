package org.sycamoretrack.daemon.request;

import java.util.function.Consumer;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.VersionSpanCollector;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Collects a completion and sends it as a single answer. Confined to the event loop of its call.
 */
final class WholeCompletion implements CompletionAnswer {
  private final CompletionCall call;
  private final Consumer<HttpResponse> answered;
  private Consumer<SycamoreException> failed;
  private final StringBuilder text = new StringBuilder();
  private final VersionSpanCollector spans = new VersionSpanCollector();

  /**
   * Creates an answer.
   *
   * @param call the call
   * @param answered receives the complete answer, and error answers unless {@link #onFailure} is
   *     set
   */
  WholeCompletion(CompletionCall call, Consumer<HttpResponse> answered) {
    this.call = call;
    this.answered = answered;
    this.failed = error -> answered.accept(ErrorAnswers.answer(error));
  }

  /** Sets the listener that receives the error of a failed call. */
  void onFailure(Consumer<SycamoreException> listener) {
    failed = listener;
  }

  @Override
  public void onTokens(String newText, int tokens, long version) {
    text.append(newText);
    spans.append(version, tokens);
  }

  @Override
  public void onFinished(String finishReason) {
    answered.accept(
        HttpResponse.json(200, call.answer(text.toString(), finishReason, spans.toList())));
  }

  @Override
  public void onFailed(GenerationFailure failure) {
    failed.accept(failure.toException());
  }
}
