package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sycamoretrack.transport.process.Json;

/**
 * One event for the log: a name and the ids that tie it to a request, step, lease or version.
 *
 * <p>Use: {@code LOG.log(Level.INFO, LogEvent.of("step-opened").with("step", 12))}. {@link JsonLog}
 * writes it as one JSON line; other back ends of {@link System.Logger} see {@link #toString()}.
 */
public final class LogEvent {
  private final String name;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  private LogEvent(String name) {
    this.name = name;
  }

  /**
   * Starts an event.
   *
   * @param name lower case words joined by hyphens; {@code docs/OPERATIONS.md} lists them
   */
  public static LogEvent of(String name) {
    return new LogEvent(name);
  }

  /**
   * Adds a field.
   *
   * @param field the name, with its unit where it has one
   * @param value a string, number or boolean; other objects are written by their toString
   * @return this event
   */
  public LogEvent with(String field, Object value) {
    fields.put(field, value);
    return this;
  }

  /** Returns the name. */
  public String name() {
    return name;
  }

  /**
   * Adds the event's fields to a JSON object.
   *
   * @param target receives the fields
   */
  void writeTo(ObjectNode target) {
    target.put("event", name);
    fields.forEach((field, value) -> target.set(field, toJson(value)));
  }

  private static com.fasterxml.jackson.databind.JsonNode toJson(Object value) {
    boolean plain = value == null || value instanceof Number || value instanceof Boolean;
    return Json.mapper().valueToTree(plain ? value : value.toString());
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(name);
    fields.forEach((field, value) -> text.append(' ').append(field).append('=').append(value));
    return text.toString();
  }
}
