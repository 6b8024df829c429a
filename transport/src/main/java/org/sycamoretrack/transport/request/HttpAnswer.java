package org.sycamoretrack.transport.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import org.sycamoretrack.transport.process.Json;

/**
 * A whole answer: status, headers and body.
 *
 * @param status the HTTP status code
 * @param headers the headers, names in lower case
 * @param body the body, which must not be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {
  private static final Map<String, String> JSON_HEADERS =
      Map.of("content-type", "application/json");

  /**
   * Returns an answer with a JSON body.
   *
   * @param status the HTTP status code
   * @param value what {@link Json#bytes} can write
   */
  public static HttpAnswer json(int status, Object value) {
    return new HttpAnswer(status, JSON_HEADERS, Json.bytes(value));
  }

  /**
   * Returns an answer with a text body.
   *
   * @param status the HTTP status code
   * @param contentType the media type
   * @param text the body
   */
  public static HttpAnswer text(int status, String contentType, String text) {
    return new HttpAnswer(
        status, Map.of("content-type", contentType), text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the body as JSON.
   *
   * @throws IllegalArgumentException when it is not JSON
   */
  public JsonNode json() {
    return Json.parse(body);
  }

  /**
   * Returns a header.
   *
   * @param name the name in any case
   * @return the value, or null
   */
  public String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }
}
