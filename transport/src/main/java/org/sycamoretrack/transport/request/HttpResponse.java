package org.sycamoretrack.transport.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import org.sycamoretrack.transport.process.Json;

/**
 * A complete HTTP response: status, headers and body.
 *
 * @param status the HTTP status code
 * @param headers the headers by name in lower case
 * @param body the body, which must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {
  private static final Map<String, String> JSON_HEADERS =
      Map.of("content-type", "application/json");

  /**
   * Returns a response with a JSON body.
   *
   * @param status the HTTP status code
   * @param value the value to serialize with {@link Json#toBytes}
   */
  public static HttpResponse json(int status, Object value) {
    return new HttpResponse(status, JSON_HEADERS, Json.toBytes(value));
  }

  /**
   * Returns a response with a text body, encoded in UTF-8.
   *
   * @param status the HTTP status code
   * @param contentType the media type
   * @param text the body
   */
  public static HttpResponse text(int status, String contentType, String text) {
    return new HttpResponse(
        status, Map.of("content-type", contentType), text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Parses the body as JSON.
   *
   * @throws IllegalArgumentException if the body is not valid JSON
   */
  public JsonNode json() {
    return Json.parse(body);
  }

  /**
   * Returns the value of a header.
   *
   * @param name the name, case-insensitive
   * @return the value, or null if the header is absent
   */
  public String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }
}
