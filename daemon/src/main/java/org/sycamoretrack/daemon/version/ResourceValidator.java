package org.sycamoretrack.daemon.version;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.core.version.ResourceKind;
import org.sycamoretrack.core.version.ValidationError;
import org.sycamoretrack.transport.process.Json;

/**
 * Validates resources in JSON against the bundled JSON schema.
 *
 * <p>All validation errors are reported at once, each with a JSON pointer to its location. Unknown
 * fields are validation errors.
 */
final class ResourceValidator {
  private static final String SCHEMA_FILE = "resources.schema.json";
  private static final Map<ResourceKind, Schema> SCHEMAS = loadSchemas();
  private static final Schema SELECTOR_SCHEMA = compile(loadDefinitions(), "selector");

  private ResourceValidator() {}

  private static JsonNode loadDefinitions() {
    try (InputStream in = ResourceValidator.class.getResourceAsStream(SCHEMA_FILE)) {
      return Json.parse(in.readAllBytes()).get("$defs");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Map<ResourceKind, Schema> loadSchemas() {
    JsonNode definitions = loadDefinitions();
    Map<ResourceKind, Schema> schemas = new EnumMap<>(ResourceKind.class);
    for (ResourceKind kind : ResourceKind.values()) {
      schemas.put(kind, compile(withEnvelope(definitions, kind), "resource"));
    }
    return schemas;
  }

  /** Returns the definitions with one added for a complete resource of a kind. */
  private static JsonNode withEnvelope(JsonNode definitions, ResourceKind kind) {
    ObjectNode all = definitions.deepCopy();
    ObjectNode resource = all.putObject("resource").put("type", "object");
    ObjectNode properties = resource.putObject("properties");
    properties.putObject("kind").put("const", kind.wireName());
    properties.putObject("name").put("$ref", "#/$defs/name");
    properties.putObject("labels").put("$ref", "#/$defs/labels");
    properties.putObject("version").put("type", "integer").put("minimum", 0);
    properties.putObject("spec").put("$ref", "#/$defs/" + kind.wireName());
    resource.putArray("required").add("kind").add("name").add("spec");
    resource.put("additionalProperties", false);
    return all;
  }

  private static Schema compile(JsonNode definitions, String root) {
    ObjectNode schema = Json.object().put("$ref", "#/$defs/" + root);
    schema.set("$defs", definitions);
    return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(schema);
  }

  static List<ValidationError> check(ResourceKind kind, JsonNode resource) {
    return errors(SCHEMAS.get(kind), resource);
  }

  static List<ValidationError> checkSelector(JsonNode selector) {
    return errors(SELECTOR_SCHEMA, selector);
  }

  private static List<ValidationError> errors(Schema schema, JsonNode json) {
    List<ValidationError> errors = new ArrayList<>();
    for (com.networknt.schema.Error error : schema.validate(json)) {
      String pointer = error.getInstanceLocation().toString();
      errors.add(new ValidationError(pointer.startsWith("/") ? pointer : "", error.getMessage()));
    }
    return errors;
  }
}
