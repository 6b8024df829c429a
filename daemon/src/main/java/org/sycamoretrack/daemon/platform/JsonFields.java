package org.sycamoretrack.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads fields that must be there and have a type; what doesn't fit is refused. */
final class JsonFields {
  private JsonFields() {}

  static long requireLong(JsonNode node, String name) {
    JsonNode field = node.path(name);
    if (!field.isIntegralNumber() || !field.canConvertToLong()) {
      throw new IllegalArgumentException("field " + name + " is not an integer");
    }
    return field.longValue();
  }

  static int requireInt(JsonNode node, String name) {
    return Math.toIntExact(requireLong(node, name));
  }

  static double requireDouble(JsonNode node, String name) {
    JsonNode field = node.path(name);
    if (!field.isNumber()) {
      throw new IllegalArgumentException("field " + name + " is not a number");
    }
    return field.doubleValue();
  }

  static boolean requireBoolean(JsonNode node, String name) {
    JsonNode field = node.path(name);
    if (!field.isBoolean()) {
      throw new IllegalArgumentException("field " + name + " is not a boolean");
    }
    return field.booleanValue();
  }

  static String requireText(JsonNode node, String name) {
    JsonNode field = node.path(name);
    if (!field.isTextual()) {
      throw new IllegalArgumentException("field " + name + " is not a string");
    }
    return field.textValue();
  }

  static JsonNode requireArray(JsonNode node, String name) {
    JsonNode field = node.path(name);
    if (!field.isArray()) {
      throw new IllegalArgumentException("field " + name + " is not a list");
    }
    return field;
  }
}
