package org.sycamoretrack.daemon.client;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads required fields of a JSON object and checks their types. */
public final class JsonFields {
  private JsonFields() {}

  /**
   * Reads an integer.
   *
   * @param node the object
   * @param name the field
   * @throws IllegalArgumentException when the field is missing or has another type
   */
  public static long requireLong(JsonNode node, String name) {
    JsonNode field = node.path(name);
    if (!field.isIntegralNumber() || !field.canConvertToLong()) {
      throw new IllegalArgumentException("field " + name + " is not an integer");
    }
    return field.longValue();
  }

  /**
   * Reads a 32-bit integer.
   *
   * @param node the object
   * @param name the field
   * @throws IllegalArgumentException when the field is missing or has another type
   */
  public static int requireInt(JsonNode node, String name) {
    long value = requireLong(node, name);
    if (value != (int) value) {
      throw new IllegalArgumentException("field " + name + " is out of range");
    }
    return (int) value;
  }

  /**
   * Reads a number.
   *
   * @param node the object
   * @param name the field
   * @throws IllegalArgumentException when the field is missing or has another type
   */
  public static double requireDouble(JsonNode node, String name) {
    JsonNode field = node.path(name);
    if (!field.isNumber()) {
      throw new IllegalArgumentException("field " + name + " is not a number");
    }
    return field.doubleValue();
  }

  /**
   * Reads a boolean.
   *
   * @param node the object
   * @param name the field
   * @throws IllegalArgumentException when the field is missing or has another type
   */
  public static boolean requireBoolean(JsonNode node, String name) {
    JsonNode field = node.path(name);
    if (!field.isBoolean()) {
      throw new IllegalArgumentException("field " + name + " is not a boolean");
    }
    return field.booleanValue();
  }

  /**
   * Reads a string.
   *
   * @param node the object
   * @param name the field
   * @throws IllegalArgumentException when the field is missing or has another type
   */
  public static String requireText(JsonNode node, String name) {
    JsonNode field = node.path(name);
    if (!field.isTextual()) {
      throw new IllegalArgumentException("field " + name + " is not a string");
    }
    return field.textValue();
  }

  /**
   * Reads an array.
   *
   * @param node the object
   * @param name the field
   * @throws IllegalArgumentException when the field is missing or has another type
   */
  public static JsonNode requireArray(JsonNode node, String name) {
    JsonNode field = node.path(name);
    if (!field.isArray()) {
      throw new IllegalArgumentException("field " + name + " is not a list");
    }
    return field;
  }
}
