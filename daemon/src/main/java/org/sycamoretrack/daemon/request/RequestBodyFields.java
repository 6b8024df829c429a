package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.transport.process.Json;

/** Reads fields of a request's JSON body. Errors name the field and its allowed values. */
final class RequestBodyFields {
  private final JsonNode object;

  private RequestBodyFields(JsonNode object) {
    this.object = object;
  }

  /** Returns the fields of a body that must be one JSON object. */
  static RequestBodyFields parse(byte[] body) {
    JsonNode node;
    try {
      node = Json.parse(body);
    } catch (IllegalArgumentException e) {
      throw invalid("body: " + e.getMessage());
    }
    return of(node, "body");
  }

  /** Returns the fields of a node that must be an object. */
  static RequestBodyFields of(JsonNode node, String path) {
    if (!node.isObject()) {
      throw invalid(path + " must be a JSON object");
    }
    return new RequestBodyFields(node);
  }

  static SycamoreException invalid(String message) {
    return new SycamoreException(ErrorCode.INVALID_REQUEST, ExecutionOutcome.NOT_RUN, message);
  }

  /** Returns a string field. */
  String string(String name) {
    JsonNode value = object.path(name);
    if (!value.isTextual()) {
      throw invalid(name + " must be a string");
    }
    return value.textValue();
  }

  /** Returns a string field, or a default when it is absent. */
  String string(String name, String defaultValue) {
    return isAbsent(name) ? defaultValue : string(name);
  }

  /** Returns an integer field within bounds. */
  long integer(String name, long min, long max) {
    JsonNode value = object.path(name);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw invalid(name + " must be an integer, " + min + " to " + max);
    }
    long number = value.longValue();
    if (number < min || number > max) {
      throw invalid(name + " must be " + min + " to " + max + ", but is " + number);
    }
    return number;
  }

  /** Returns an integer field within bounds, or a default when it is absent. */
  long integer(String name, long min, long max, long defaultValue) {
    return isAbsent(name) ? defaultValue : integer(name, min, max);
  }

  /** Returns a boolean field; an absent one is false. */
  boolean bool(String name) {
    JsonNode value = object.path(name);
    if (isAbsent(name)) {
      return false;
    }
    if (!value.isBoolean()) {
      throw invalid(name + " must be true or false");
    }
    return value.booleanValue();
  }

  /** Returns a list field that must not be empty. */
  JsonNode list(String name) {
    JsonNode value = object.path(name);
    if (!value.isArray() || value.isEmpty()) {
      throw invalid(name + " must be a non-empty list");
    }
    return value;
  }

  private boolean isAbsent(String name) {
    JsonNode value = object.path(name);
    return value.isMissingNode() || value.isNull();
  }
}
