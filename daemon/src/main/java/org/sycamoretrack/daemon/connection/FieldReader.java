package org.sycamoretrack.daemon.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the named fields of a message or of a nested map.
 *
 * <p>Fields that are not read are ignored, so that newer nodes can add fields. A frame is malformed
 * when a field has another type than the requested one, or when a field without a default is
 * absent.
 */
public final class FieldReader {
  private static final byte[] NO_BYTES = {};

  private final Map<String, Object> fields;

  FieldReader(Map<String, Object> fields) {
    this.fields = fields;
  }

  /**
   * Returns whether a field is present.
   *
   * @param name the name of the field
   */
  public boolean has(String name) {
    return fields.containsKey(name);
  }

  /**
   * Returns a string.
   *
   * @param name the name of the field
   * @throws MalformedFrameException when it is absent or not a string
   */
  public String string(String name) {
    return required(name, String.class);
  }

  /**
   * Returns a string or a default.
   *
   * @param name the name of the field
   * @param defaultValue the default, may be null
   */
  public String string(String name, String defaultValue) {
    return has(name) ? string(name) : defaultValue;
  }

  /**
   * Returns an integer.
   *
   * @param name the name of the field
   * @throws MalformedFrameException when it is absent or not an integer
   */
  public long integer(String name) {
    return required(name, Long.class);
  }

  /**
   * Returns an integer or a default.
   *
   * @param name the name of the field
   * @param defaultValue the default
   */
  public long integer(String name, long defaultValue) {
    return has(name) ? integer(name) : defaultValue;
  }

  /**
   * Returns a 32-bit integer.
   *
   * @param name the name of the field
   * @throws MalformedFrameException when it is absent, not an integer or out of range
   */
  public int int32(String name) {
    long value = integer(name);
    if (value != (int) value) {
      throw new MalformedFrameException("field " + name + " is out of range");
    }
    return (int) value;
  }

  /**
   * Returns a number.
   *
   * @param name the name of the field
   * @throws MalformedFrameException when it is absent or not a number
   */
  public double number(String name) {
    return required(name, Number.class).doubleValue();
  }

  /**
   * Returns a number or a default.
   *
   * @param name the name of the field
   * @param defaultValue the default
   */
  public double number(String name, double defaultValue) {
    return has(name) ? number(name) : defaultValue;
  }

  /**
   * Returns a boolean; false when the field is absent.
   *
   * @param name the name of the field
   */
  public boolean bool(String name) {
    return has(name) && required(name, Boolean.class);
  }

  /**
   * Returns bytes, which must not be changed; empty when the field is absent.
   *
   * @param name the name of the field
   */
  public byte[] bytes(String name) {
    return has(name) ? required(name, byte[].class) : NO_BYTES;
  }

  /**
   * Returns a list of strings; empty when the field is absent.
   *
   * @param name the name of the field
   */
  public List<String> strings(String name) {
    return list(name, String.class);
  }

  /**
   * Returns a list of integers; empty when the field is absent.
   *
   * @param name the name of the field
   */
  public List<Long> integers(String name) {
    return list(name, Long.class);
  }

  /**
   * Returns a nested map.
   *
   * @param name the name of the field
   * @throws MalformedFrameException when it is absent or not a map
   */
  public FieldReader map(String name) {
    return required(name, FieldReader.class);
  }

  /**
   * Returns a list of maps; empty when the field is absent.
   *
   * @param name the name of the field
   */
  public List<FieldReader> maps(String name) {
    return list(name, FieldReader.class);
  }

  private <T> List<T> list(String name, Class<T> type) {
    if (!has(name)) {
      return List.of();
    }
    List<?> values = required(name, List.class);
    List<T> typed = new ArrayList<>(values.size());
    for (Object value : values) {
      typed.add(cast(name, value, type));
    }
    return typed;
  }

  private <T> T required(String name, Class<T> type) {
    return cast(name, fields.get(name), type);
  }

  private static <T> T cast(String name, Object value, Class<T> type) {
    if (!type.isInstance(value)) {
      throw new MalformedFrameException("field " + name + " is missing or has another type");
    }
    return type.cast(value);
  }
}
