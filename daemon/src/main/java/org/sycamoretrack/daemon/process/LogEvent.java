package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sycamoretrack.transport.process.Json;

/**
 * A structured log event: a name and fields, such as the ids of the request, step, lease or version
 * that it belongs to.
 *
 * <p>Example: {@code LOG.log(Level.INFO, LogEvent.of("step-opened").with("step", 12))}. {@link
 * JsonLog} writes it as one JSON line; other backends of {@link System.Logger} use {@link
 * #toString()}.
 */
public final class LogEvent {
  private final String name;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  private LogEvent(String name) {
    this.name = name;
  }

  /**
   * Creates an event without fields.
   *
   * @param name the event name, lower-case words joined by hyphens; {@code docs/OPERATIONS.md}
   *     lists the names
   */
  public static LogEvent of(String name) {
    return new LogEvent(name);
  }

  /**
   * Adds a field.
   *
   * @param field the field name, with its unit if it has one
   * @param value a string, number or boolean; other objects are converted with toString
   * @return this event
   */
  public LogEvent with(String field, Object value) {
    fields.put(field, value);
    return this;
  }

  /** Returns the name of the event. */
  public String name() {
    return name;
  }

  /**
   * Adds the name and the fields of the event to a JSON object.
   *
   * @param target the JSON object
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
