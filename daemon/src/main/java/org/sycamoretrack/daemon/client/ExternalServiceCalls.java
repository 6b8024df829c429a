package org.sycamoretrack.daemon.client;

import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Sends HTTP calls to one external service and converts every failure into a {@link
 * SycamoreException}.
 *
 * <p>The outcome of a failed call is {@code NOT_RUN} when the service can't have received a byte,
 * or when it refused with status 429 or 503. After any other failure, including an invalid
 * response, the outcome is {@code UNKNOWN}, since the call may have taken effect.
 */
public final class ExternalServiceCalls {
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final HttpClient client;
  private final String serviceName;
  private final ErrorCode code;
  private final int timeoutMs;

  /**
   * Creates the calls of a service.
   *
   * @param client sends the calls
   * @param serviceName the name of the service in error messages
   * @param code the error code of failures
   * @param timeoutMs the timeout for a whole call, in milliseconds
   */
  public ExternalServiceCalls(
      HttpClient client, String serviceName, ErrorCode code, int timeoutMs) {
    this.client = client;
    this.serviceName = serviceName;
    this.code = code;
    this.timeoutMs = timeoutMs;
  }

  /**
   * Returns a builder for a request with this client's timeout.
   *
   * @param method the HTTP method
   * @param address the address of the service
   * @param target path and query
   */
  public HttpRequest.Builder request(String method, InetSocketAddress address, String target) {
    return HttpRequest.builder(method, address, target).timeoutMs(timeoutMs);
  }

  /**
   * Sends a request and decodes its response.
   *
   * @param request the request
   * @param reader decodes the response; throws {@link IllegalArgumentException} or {@link
   *     ArithmeticException} when it is invalid
   */
  public <T> CompletableFuture<T> call(HttpRequest request, Function<HttpResponse, T> reader) {
    CompletableFuture<T> result = new CompletableFuture<>();
    client
        .call(request)
        .whenComplete(
            (response, failure) -> {
              if (failure != null) {
                result.completeExceptionally(toException(failure));
              } else {
                complete(result, response, reader);
              }
            });
    return result;
  }

  private <T> void complete(
      CompletableFuture<T> result, HttpResponse response, Function<HttpResponse, T> reader) {
    T value;
    try {
      value = reader.apply(response);
    } catch (SycamoreException e) {
      result.completeExceptionally(e);
      return;
    } catch (IllegalArgumentException | ArithmeticException e) {
      String message = serviceName + " sent an invalid response: " + e.getMessage();
      result.completeExceptionally(
          new SycamoreException(code, ExecutionOutcome.UNKNOWN, message, e));
      return;
    }
    result.complete(value);
  }

  private SycamoreException toException(Throwable failure) {
    boolean maybeSent = !(failure instanceof HttpException http) || http.maybeSent();
    ExecutionOutcome outcome = maybeSent ? ExecutionOutcome.UNKNOWN : ExecutionOutcome.NOT_RUN;
    return new SycamoreException(
        code, outcome, serviceName + " call failed: " + failure.getMessage(), failure);
  }

  /** Returns the exception for a response with a status that the caller does not handle. */
  public SycamoreException unexpectedStatus(HttpResponse response) {
    boolean refused =
        response.status() == TOO_MANY_REQUESTS || response.status() == SERVICE_UNAVAILABLE;
    return new SycamoreException(
        code,
        refused ? ExecutionOutcome.NOT_RUN : ExecutionOutcome.UNKNOWN,
        serviceName + " responded with status " + response.status());
  }

  /** Throws the exception of {@link #unexpectedStatus} unless the status is 200. */
  public void requireOk(HttpResponse response) {
    if (response.status() != OK) {
      throw unexpectedStatus(response);
    }
  }

  /** Percent-encodes a text for use in a path or query. */
  public static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
