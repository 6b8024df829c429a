package org.sycamoretrack.daemon.farend;

import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.Outcome;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpFailure;
import org.sycamoretrack.transport.request.HttpRequest;

/**
 * Sends whole calls to one far end and turns every failure into a {@link SycamoreException}.
 *
 * <p>The outcome of a failed call is {@code NOT_RUN} when no byte can have arrived, or when the far
 * end refused with 429 or 503; any other failure may hide an effect, and so may an answer that
 * can't be read.
 */
public final class PlatformCalls {
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final HttpClient client;
  private final String serviceName;
  private final ErrorCode code;
  private final int timeoutMs;

  /**
   * Creates the sender.
   *
   * @param client sends the calls
   * @param farEnd names the far end in messages
   * @param code the code of failures
   * @param timeoutMs the time within which an answer must have ended, in milliseconds
   */
  public PlatformCalls(HttpClient client, String farEnd, ErrorCode code, int timeoutMs) {
    this.client = client;
    this.serviceName = farEnd;
    this.code = code;
    this.timeoutMs = timeoutMs;
  }

  /**
   * Starts a request with the usual time-out.
   *
   * @param method the method
   * @param address where it is sent
   * @param target path and query
   */
  public HttpRequest.Builder request(String method, InetSocketAddress address, String target) {
    return HttpRequest.builder(method, address, target).timeoutMs(timeoutMs);
  }

  /**
   * Sends a request and reads its answer.
   *
   * @param request the request
   * @param reader reads the answer; throws {@link IllegalArgumentException} or {@link
   *     ArithmeticException} when it doesn't have the required form
   */
  public <T> CompletableFuture<T> call(HttpRequest request, Function<HttpAnswer, T> reader) {
    CompletableFuture<T> result = new CompletableFuture<>();
    client
        .call(request)
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                result.completeExceptionally(toException(failure));
              } else {
                complete(result, answer, reader);
              }
            });
    return result;
  }

  private <T> void complete(
      CompletableFuture<T> result, HttpAnswer answer, Function<HttpAnswer, T> reader) {
    T value;
    try {
      value = reader.apply(answer);
    } catch (SycamoreException e) {
      result.completeExceptionally(e);
      return;
    } catch (IllegalArgumentException | ArithmeticException e) {
      String message = serviceName + " answered what can't be read: " + e.getMessage();
      result.completeExceptionally(new SycamoreException(code, Outcome.UNKNOWN, message, e));
      return;
    }
    result.complete(value);
  }

  private SycamoreException toException(Throwable failure) {
    boolean maybeSent = !(failure instanceof HttpFailure http) || http.maybeSent();
    Outcome outcome = maybeSent ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    return new SycamoreException(code, outcome, serviceName + ": " + failure.getMessage(), failure);
  }

  /** Returns the error for an answer whose status is not one of those that the caller reads. */
  public SycamoreException unexpected(HttpAnswer answer) {
    boolean refused =
        answer.status() == TOO_MANY_REQUESTS || answer.status() == SERVICE_UNAVAILABLE;
    return new SycamoreException(
        code,
        refused ? Outcome.NOT_RUN : Outcome.UNKNOWN,
        serviceName + " answered with status " + answer.status());
  }

  /** Throws the error of {@link #unexpected} unless the status is 200. */
  public void requireOk(HttpAnswer answer) {
    if (answer.status() != OK) {
      throw unexpected(answer);
    }
  }

  /** Returns a text as it stands in a path or query. */
  public static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
