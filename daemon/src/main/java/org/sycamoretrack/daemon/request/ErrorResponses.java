package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpResponse;

/** Builds error responses in the format of {@code docs/API.md}. */
public final class ErrorResponses {
  private static final String RETRY_AFTER_S = "1";

  private ErrorResponses() {}

  /**
   * Returns the body of an error.
   *
   * @param error the error
   * @return {@code {"error": {"code", "outcome", "message"}}}
   */
  public static ObjectNode body(SycamoreException error) {
    ObjectNode body = Json.object();
    body.putObject("error")
        .put("code", error.code().wireName())
        .put("outcome", error.outcome().wireName())
        .put("message", error.getMessage());
    return body;
  }

  /**
   * Returns the body of an error that does not state the outcome of the request.
   *
   * @param code the code
   * @param message a human-readable message
   * @return {@code {"error": {"code", "message"}}}
   */
  public static ObjectNode body(ErrorCode code, String message) {
    ObjectNode body = Json.object();
    body.putObject("error").put("code", code.wireName()).put("message", message);
    return body;
  }

  /**
   * Returns the response to a request that failed.
   *
   * @param error the error
   */
  public static HttpResponse response(SycamoreException error) {
    HttpResponse plain = HttpResponse.json(error.code().httpStatus(), body(error));
    if (error.outcome() != ExecutionOutcome.NOT_RUN || !isTemporary(error.code())) {
      return plain;
    }
    Map<String, String> headers = new HashMap<>(plain.headers());
    headers.put("retry-after", RETRY_AFTER_S);
    return new HttpResponse(plain.status(), headers, plain.body());
  }

  private static boolean isTemporary(ErrorCode code) {
    return switch (code) {
      case OVERLOADED, NO_ENDPOINT, STOPPING, PLATFORM_UNAVAILABLE, PEER_UNAVAILABLE -> true;
      default -> false;
    };
  }

  /**
   * Converts any failure into an error with a code.
   *
   * @param failure the failure, possibly wrapped by a future
   * @return the error; {@link ErrorCode#INTERNAL} for one without a code
   */
  public static SycamoreException toError(Throwable failure) {
    Throwable cause = Failures.unwrap(failure);
    if (cause instanceof SycamoreException error) {
      return error;
    }
    if (cause instanceof IllegalArgumentException) {
      return new SycamoreException(
          ErrorCode.INVALID_REQUEST, ExecutionOutcome.NOT_RUN, cause.getMessage(), cause);
    }
    return new SycamoreException(
        ErrorCode.INTERNAL, ExecutionOutcome.UNKNOWN, cause.toString(), cause);
  }
}
