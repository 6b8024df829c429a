package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.transport.process.Json;

/**
 * Reads settings from JSON and validates them against their schema.
 *
 * <p>All errors are reported at once, each with the JSON pointer of the field, for example {@code
 * /callerAddress: '10.0.0.7' is not ...}.
 */
public final class SettingsReader {
  private static final String SCHEMA = "settings.schema.json";
  private static final String DEFAULT_LIMITS = "limits.default.json";

  private SettingsReader() {}

  /**
   * Reads settings from a file.
   *
   * @param file a JSON file
   * @throws SycamoreException with {@link ErrorCode#INVALID_REQUEST} and all errors
   */
  public static NodeSettings read(Path file) {
    try {
      return parse(Files.readAllBytes(file));
    } catch (IOException e) {
      throw invalid("can't read " + file + ": " + e.getMessage());
    }
  }

  /**
   * Parses settings.
   *
   * @param bytes JSON in UTF-8
   * @throws SycamoreException with {@link ErrorCode#INVALID_REQUEST} and all errors
   */
  public static NodeSettings parse(byte[] bytes) {
    JsonNode json;
    try {
      json = Json.parse(bytes);
    } catch (IllegalArgumentException e) {
      throw invalid(e.getMessage());
    }
    List<String> errors = validationErrors(json);
    if (!errors.isEmpty()) {
      throw invalid(String.join("; ", errors));
    }
    try {
      return NodeSettings.ofValidJson(json, limits(json.path("limits")));
    } catch (IllegalArgumentException e) {
      throw invalid(e.getMessage());
    }
  }

  private static List<String> validationErrors(JsonNode json) {
    Schema schema =
        SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
            .getSchema(resource(SCHEMA), InputFormat.JSON);
    List<String> errors = new ArrayList<>();
    for (com.networknt.schema.Error error : schema.validate(json.toString(), InputFormat.JSON)) {
      errors.add(describe(json, error));
    }
    return errors;
  }

  private static String describe(JsonNode json, com.networknt.schema.Error error) {
    String pointer = error.getInstanceLocation().toString();
    String path = pointer.startsWith("/") ? pointer : "";
    JsonNode value = json.at(path);
    String shownValue = value.isValueNode() ? " (is " + value + ")" : "";
    return (path.isEmpty() ? "/" : path) + ": " + error.getMessage() + shownValue;
  }

  private static NodeLimits limits(JsonNode overrides) {
    ObjectNode merged = defaultLimits();
    overrides.properties().forEach(entry -> merged.set(entry.getKey(), entry.getValue()));
    return Json.mapper().convertValue(merged, NodeLimits.class);
  }

  /** Returns the default limits. */
  public static ObjectNode defaultLimits() {
    return (ObjectNode) Json.parse(resource(DEFAULT_LIMITS).getBytes(StandardCharsets.UTF_8));
  }

  private static String resource(String name) {
    try (InputStream in = SettingsReader.class.getResourceAsStream(name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static SycamoreException invalid(String message) {
    return new SycamoreException(
        ErrorCode.INVALID_REQUEST, ExecutionOutcome.NOT_RUN, "settings: " + message);
  }
}
