package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpExchange;

/** What all stand-ins need to read requests and give answers. */
public final class HttpUtils {
  private HttpUtils() {}

  /**
   * Returns an error answer with the outcome {@code not-run}.
   *
   * @param status the HTTP status code
   * @param code the code
   * @param message one line for people
   */
  public static HttpAnswer error(int status, String code, String message) {
    return HttpAnswer.json(
        status, Map.of("error", Map.of("code", code, "outcome", "not-run", "message", message)));
  }

  /**
   * Returns an error answer for load.
   *
   * @param retryAfterS what {@code Retry-After} says, in seconds
   */
  public static HttpAnswer tooManyRequests(long retryAfterS) {
    HttpAnswer answer = error(429, "overloaded", "over the rate limit");
    Map<String, String> headers =
        Map.of("content-type", "application/json", "retry-after", Long.toString(retryAfterS));
    return new HttpAnswer(answer.status(), headers, answer.body());
  }

  /**
   * Returns the body as JSON.
   *
   * @param exchange the request
   * @return the body; an empty object when it is not JSON
   */
  public static JsonNode body(HttpExchange exchange) {
    try {
      return Json.parse(exchange.body());
    } catch (IllegalArgumentException e) {
      return Json.object();
    }
  }

  /**
   * Splits a path and decodes its parts.
   *
   * @param path a path, for example {@code /tables/a/rows/b%2Fc}
   * @return the parts, for example {@code tables}, {@code a}, {@code rows}, {@code b/c}
   */
  public static String[] segments(String path) {
    String[] parts = path.substring(1).split("/", -1);
    for (int i = 0; i < parts.length; i++) {
      // A plus sign stands for itself in a path.
      parts[i] = URLDecoder.decode(parts[i].replace("+", "%2B"), StandardCharsets.UTF_8);
    }
    return parts;
  }
}
