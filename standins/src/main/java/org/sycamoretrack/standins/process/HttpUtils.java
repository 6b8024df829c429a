package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/** Helpers for reading requests and creating responses in all stand-ins. */
public final class HttpUtils {
  private HttpUtils() {}

  /**
   * Returns an error response with the outcome {@code not-run}.
   *
   * @param status the HTTP status code
   * @param code the error code
   * @param message human-readable message, one line
   */
  public static HttpResponse error(int status, String code, String message) {
    return HttpResponse.json(
        status, Map.of("error", Map.of("code", code, "outcome", "not-run", "message", message)));
  }

  /**
   * Returns a response with status 429 and a {@code Retry-After} header.
   *
   * @param retryAfterS value of {@code Retry-After}, in seconds
   */
  public static HttpResponse tooManyRequests(long retryAfterS) {
    HttpResponse response = error(429, "overloaded", "over the rate limit");
    Map<String, String> headers =
        Map.of("content-type", "application/json", "retry-after", Long.toString(retryAfterS));
    return new HttpResponse(response.status(), headers, response.body());
  }

  /**
   * Parses the body of a request as JSON.
   *
   * @param exchange the request
   * @return the parsed body; an empty object if it is not JSON
   */
  public static JsonNode body(HttpExchange exchange) {
    try {
      return Json.parse(exchange.body());
    } catch (IllegalArgumentException e) {
      return Json.object();
    }
  }

  /**
   * Splits a path into segments and decodes them.
   *
   * @param path a path, for example {@code /tables/a/rows/b%2Fc}
   * @return the segments, for example {@code tables}, {@code a}, {@code rows}, {@code b/c}
   */
  public static String[] segments(String path) {
    String[] parts = path.substring(1).split("/", -1);
    for (int i = 0; i < parts.length; i++) {
      // URLDecoder decodes form data, where a plus sign is a space; in a path it is a literal.
      parts[i] = URLDecoder.decode(parts[i].replace("+", "%2B"), StandardCharsets.UTF_8);
    }
    return parts;
  }
}
