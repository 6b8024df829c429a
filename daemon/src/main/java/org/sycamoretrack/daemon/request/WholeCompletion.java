package org.sycamoretrack.daemon.request;

import org.sycamoretrack.core.request.VersionSpans;
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpExchange;

/** An answer that is sent when it is whole. Confined to the event loop of its call. */
final class WholeCompletion implements CompletionAnswer {
  private final CompletionCall call;
  private final HttpExchange exchange;
  private final StringBuilder text = new StringBuilder();
  private final VersionSpans spans = new VersionSpans();

  WholeCompletion(CompletionCall call, HttpExchange exchange) {
    this.call = call;
    this.exchange = exchange;
  }

  @Override
  public void onTokens(String newText, int tokens, long version) {
    text.append(newText);
    spans.append(version, tokens);
  }

  @Override
  public void onFinished(String finishReason) {
    exchange.respond(
        HttpAnswer.json(200, call.answer(text.toString(), finishReason, spans.toList())));
  }

  @Override
  public void onFailed(GenerationFailure failure) {
    exchange.respond(ErrorAnswers.answer(failure.toException()));
  }
}
