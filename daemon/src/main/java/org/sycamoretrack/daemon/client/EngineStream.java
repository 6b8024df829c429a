package org.sycamoretrack.daemon.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpResponseListener;

/**
 * Converts one HTTP response of an engine into calls of an {@link EngineListener}.
 *
 * <p>Confined to the event loop of its call. Invariant: the listener is notified of exactly one end
 * and of nothing after it. The stream has succeeded only when the engine's end marker follows a
 * finish reason; a response that ends earlier is a failure, even when its length looks complete.
 * After a protocol violation the call is cancelled, so that its connection is not reused.
 */
final class EngineStream implements HttpResponseListener, EngineStreamParser.Sink {
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int MAX_ERROR_BYTES = 64 << 10;

  private final EngineListener listener;
  private final EngineStreamParser parser = new EngineStreamParser(this);
  private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
  private Runnable cancelCall;
  private int status;
  private boolean tokensReceived;
  private boolean ended;
  private boolean cancelRequested;

  EngineStream(EngineListener listener) {
    this.listener = listener;
  }

  /**
   * Sets the action that cancels the call, and runs it if a cancellation was already requested.
   * Called from the thread that opened the call.
   */
  synchronized void setCancelAction(Runnable cancel) {
    cancelCall = cancel;
    if (cancelRequested) {
      cancel.run();
    }
  }

  private synchronized void cancelCall() {
    cancelRequested = true;
    if (cancelCall != null) {
      cancelCall.run();
    }
  }

  @Override
  public void onHead(int status, HttpHeaders headers) {
    this.status = status;
  }

  @Override
  public void onBody(ByteBuf part) {
    if (status == OK) {
      parseStream(part);
    } else if (!ended) {
      collectError(part);
    }
  }

  private void parseStream(ByteBuf part) {
    try {
      parser.parse(part);
    } catch (EngineStreamParser.ProtocolException e) {
      fail(e.kind(), e.getMessage());
      cancelCall();
    }
  }

  private void collectError(ByteBuf part) {
    if (errorBody.size() + part.readableBytes() > MAX_ERROR_BYTES) {
      fail(
          EngineFailure.Kind.TOO_LARGE,
          "the error response is larger than " + MAX_ERROR_BYTES + " bytes");
      cancelCall();
      return;
    }
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    errorBody.writeBytes(bytes);
  }

  @Override
  public void onTokens(String text, int tokens, long weightVersion) {
    if (!ended) {
      tokensReceived = true;
      listener.onTokens(text, tokens, weightVersion);
    }
  }

  @Override
  public void onDone(String finishReason) {
    if (!ended) {
      ended = true;
      listener.onFinished(finishReason);
    }
  }

  @Override
  public void onError(String message) {
    fail(EngineFailure.Kind.ENGINE_ERROR, message);
    cancelCall();
  }

  @Override
  public void onEnd() {
    if (ended) {
      return;
    }
    if (status == OK) {
      fail(EngineFailure.Kind.CLOSED_EARLY, "the stream ended without its end marker");
    } else if (isRefusal()) {
      ended = true;
      listener.onFailed(
          new EngineFailure(
              EngineFailure.Kind.REFUSED,
              ExecutionOutcome.NOT_RUN,
              "the engine refused the request with status " + status));
    } else {
      fail(EngineFailure.Kind.ENGINE_ERROR, "the engine responded with status " + status);
    }
  }

  private boolean isRefusal() {
    if (status != TOO_MANY_REQUESTS && status != SERVICE_UNAVAILABLE) {
      return false;
    }
    try {
      JsonNode outcome = Json.parse(errorBody.toByteArray()).path("error").path("outcome");
      return outcome.asText().equals(ExecutionOutcome.NOT_RUN.wireName());
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  @Override
  public void onFailure(HttpException failure) {
    if (ended) {
      return;
    }
    if (!failure.maybeSent()) {
      EngineFailure.Kind kind =
          failure.kind() == HttpException.Kind.CANCELLED
              ? EngineFailure.Kind.CANCELLED
              : EngineFailure.Kind.CONNECT_FAILED;
      ended = true;
      listener.onFailed(new EngineFailure(kind, ExecutionOutcome.NOT_RUN, failure.getMessage()));
      return;
    }
    fail(toKind(failure.kind()), failure.getMessage());
  }

  private static EngineFailure.Kind toKind(HttpException.Kind kind) {
    return switch (kind) {
      case CONNECT_FAILED -> EngineFailure.Kind.CONNECT_FAILED;
      case CLOSED_EARLY -> EngineFailure.Kind.CLOSED_EARLY;
      case TIMED_OUT -> EngineFailure.Kind.TIMED_OUT;
      case MALFORMED -> EngineFailure.Kind.MALFORMED;
      case TOO_LARGE -> EngineFailure.Kind.TOO_LARGE;
      case CANCELLED -> EngineFailure.Kind.CANCELLED;
    };
  }

  private void fail(EngineFailure.Kind kind, String message) {
    if (!ended) {
      ended = true;
      ExecutionOutcome outcome = tokensReceived ? ExecutionOutcome.RAN : ExecutionOutcome.UNKNOWN;
      listener.onFailed(new EngineFailure(kind, outcome, message));
    }
  }
}
