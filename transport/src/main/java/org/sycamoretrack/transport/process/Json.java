package org.sycamoretrack.transport.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Reads and writes JSON with one shared, immutable mapper. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private Json() {}

  /** Returns the shared mapper. Callers must not reconfigure it. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /** Returns a new empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /**
   * Serializes a value as compact JSON in UTF-8.
   *
   * @param value a JSON tree or an object that Jackson can serialize
   * @return the encoded JSON
   */
  public static byte[] toBytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value can't be written as JSON", e);
    }
  }

  /**
   * Parses exactly one JSON value, as {@link #parse} does, from input that may contain secrets. The
   * message of the exception has the position of the fault and no part of the input.
   *
   * @param bytes JSON in UTF-8
   * @return the value
   * @throws IllegalArgumentException if the bytes are not valid JSON; the message is a single line
   */
  public static JsonNode parseConfidential(byte[] bytes) {
    try {
      return parse(bytes);
    } catch (IllegalArgumentException e) {
      String position =
          e.getCause() instanceof JsonProcessingException cause && cause.getLocation() != null
              ? " at line "
                  + cause.getLocation().getLineNr()
                  + ", column "
                  + cause.getLocation().getColumnNr()
              : "";
      throw new IllegalArgumentException("not JSON" + position, e);
    }
  }

  /**
   * Parses exactly one JSON value; trailing input is an error.
   *
   * @param bytes JSON in UTF-8
   * @return the value
   * @throws IllegalArgumentException if the bytes are not valid JSON; the message is a single line
   */
  public static JsonNode parse(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      if (node == null || node.isMissingNode()) {
        throw new IllegalArgumentException("JSON input is empty");
      }
      return node;
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("not JSON", e);
    }
  }
}
