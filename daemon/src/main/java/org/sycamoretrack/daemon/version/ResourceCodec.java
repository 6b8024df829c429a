package org.sycamoretrack.daemon.version;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.version.PoolType;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceKind;
import org.sycamoretrack.core.version.ResourceSpec;
import org.sycamoretrack.core.version.Selector;
import org.sycamoretrack.core.version.ValidationError;
import org.sycamoretrack.transport.process.Json;

/**
 * Encodes resources as JSON and decodes them, in the format that {@code docs/API.md} specifies.
 *
 * <p>{@link #parse} is strict and is used for input from operators. {@link #read} is lenient and is
 * used for data from the table and from peers: it ignores fields that a newer release may have
 * added.
 */
public final class ResourceCodec {
  private static final Set<String> DEFAULT_REPEATABLE_METHODS = Set.of("GET", "HEAD");
  private static final String DEFAULT_SCORER_PATH = "/score";
  private static final double DEFAULT_FLOOR_SHARE = 0.5;

  private ResourceCodec() {}

  /**
   * Parses and validates a resource from an operator.
   *
   * @param json the resource; its version is ignored
   * @return the resource with version 0
   * @throws SycamoreException with all validation errors
   */
  public static Resource parse(JsonNode json) {
    List<ValidationError> errors = check(json);
    if (!errors.isEmpty()) {
      throw ValidationErrors.toException(errors);
    }
    return read(json).withVersion(0);
  }

  /**
   * Validates a resource, except for its references to other resources.
   *
   * @param json the resource
   * @return the validation errors, empty when the resource can be parsed
   */
  public static List<ValidationError> check(JsonNode json) {
    Optional<ResourceKind> kind = ResourceKind.ofWireName(json.path("kind").asText());
    return kind.isEmpty()
        ? List.of(new ValidationError("/kind", "is not a known kind of resource"))
        : ResourceValidator.check(kind.get(), json);
  }

  /**
   * Parses and validates a selector from an operator.
   *
   * @param json the selector
   * @throws SycamoreException with all validation errors
   */
  public static Selector parseSelector(JsonNode json) {
    List<ValidationError> errors = ResourceValidator.checkSelector(json);
    if (!errors.isEmpty()) {
      throw ValidationErrors.toException(errors);
    }
    return selector(json);
  }

  /**
   * Decodes a resource that was accepted before.
   *
   * @param json the resource
   * @throws IllegalArgumentException when the resource cannot be decoded
   */
  public static Resource read(JsonNode json) {
    String kindName = json.path("kind").asText();
    ResourceKind kind =
        ResourceKind.ofWireName(kindName)
            .orElseThrow(() -> new IllegalArgumentException("unknown resource kind " + kindName));
    return new Resource(
        json.path("name").asText(),
        labels(json.path("labels")),
        json.path("version").asLong(0),
        spec(kind, json.path("spec")));
  }

  private static ResourceSpec spec(ResourceKind kind, JsonNode spec) {
    return switch (kind) {
      case TRACKS ->
          new ResourceSpec.TrackSpec(
              spec.path("trainerGroup").asText(),
              spec.path("maxVersionLag").asInt(1),
              spec.path("scorer").textValue(),
              spec.path("share").asDouble(1));
      case TRAINER_GROUPS -> new ResourceSpec.TrainerGroupSpec(selector(spec.path("poolSelector")));
      case POOLS ->
          new ResourceSpec.PoolSpec(
              PoolType.valueOf(spec.path("type").asText().toUpperCase(Locale.ROOT)),
              spec.path("model").textValue(),
              spec.path("checksFence").asBoolean(false),
              spec.path("floorShare").asDouble(DEFAULT_FLOOR_SHARE));
      case ENDPOINTS ->
          new ResourceSpec.EndpointSpec(
              spec.path("pool").asText(),
              spec.path("address").asText(),
              spec.path("port").asInt(),
              spec.path("zone").asText());
      case SERVICES -> service(spec);
      case DRAINS ->
          new ResourceSpec.DrainSpec(ResourceKind.ENDPOINTS, selector(spec.path("selector")));
    };
  }

  private static ResourceSpec.ServiceSpec service(JsonNode spec) {
    Set<String> methods =
        spec.has("repeatableMethods")
            ? new TreeSet<>(strings(spec.get("repeatableMethods")))
            : DEFAULT_REPEATABLE_METHODS;
    return new ResourceSpec.ServiceSpec(
        spec.path("pool").asText(), methods, spec.path("path").asText(DEFAULT_SCORER_PATH));
  }

  private static Map<String, String> labels(JsonNode json) {
    Map<String, String> labels = new TreeMap<>();
    json.properties().forEach(entry -> labels.put(entry.getKey(), entry.getValue().asText()));
    return labels;
  }

  private static List<String> strings(JsonNode array) {
    List<String> strings = new ArrayList<>();
    array.forEach(item -> strings.add(item.asText()));
    return strings;
  }

  private static Selector selector(JsonNode json) {
    List<Selector.Requirement> requirements = new ArrayList<>();
    for (JsonNode expression : json.path("matchExpressions")) {
      requirements.add(
          new Selector.Requirement(
              expression.path("key").asText(),
              operator(expression.path("operator").asText()),
              new TreeSet<>(strings(expression.path("values")))));
    }
    return new Selector(labels(json.path("matchLabels")), requirements);
  }

  private static Selector.Operator operator(String wireName) {
    for (Selector.Operator operator : Selector.Operator.values()) {
      if (operator.wireName().equals(wireName)) {
        return operator;
      }
    }
    throw new IllegalArgumentException("unknown selector operator " + wireName);
  }

  /**
   * Encodes a resource, including fields with default values.
   *
   * @param resource the resource
   */
  public static ObjectNode write(Resource resource) {
    ObjectNode json = Json.object();
    json.put("kind", resource.kind().wireName()).put("name", resource.name());
    json.set("labels", Json.mapper().valueToTree(resource.labels()));
    json.put("version", resource.version());
    json.set("spec", writeSpec(resource.spec()));
    return json;
  }

  private static ObjectNode writeSpec(ResourceSpec spec) {
    ObjectNode json = Json.object();
    switch (spec) {
      case ResourceSpec.TrackSpec track ->
          json.put("trainerGroup", track.trainerGroup())
              .put("maxVersionLag", track.maxVersionLag())
              .put("scorer", track.scorer())
              .put("share", track.share());
      case ResourceSpec.TrainerGroupSpec group ->
          json.set("poolSelector", writeSelector(group.poolSelector()));
      case ResourceSpec.PoolSpec pool ->
          json.put("type", pool.type().name().toLowerCase(Locale.ROOT))
              .put("model", pool.model())
              .put("checksFence", pool.checksFence())
              .put("floorShare", pool.floorShare());
      case ResourceSpec.EndpointSpec endpoint ->
          json.put("pool", endpoint.pool())
              .put("address", endpoint.address())
              .put("port", endpoint.port())
              .put("zone", endpoint.zone());
      case ResourceSpec.ServiceSpec service -> {
        json.put("pool", service.pool());
        json.set("repeatableMethods", Json.mapper().valueToTree(service.repeatableMethods()));
        json.put("path", service.path());
      }
      case ResourceSpec.DrainSpec drain -> {
        json.put("kind", drain.drainedKind().wireName());
        json.set("selector", writeSelector(drain.selector()));
      }
    }
    return json;
  }

  private static ObjectNode writeSelector(Selector selector) {
    ObjectNode json = Json.object();
    json.set("matchLabels", Json.mapper().valueToTree(selector.matchLabels()));
    ArrayNode expressions = json.putArray("matchExpressions");
    for (Selector.Requirement requirement : selector.matchExpressions()) {
      ObjectNode expression = expressions.addObject();
      expression.put("key", requirement.key()).put("operator", requirement.operator().wireName());
      expression.set("values", Json.mapper().valueToTree(requirement.values()));
    }
    return json;
  }

  /**
   * Encodes resources as a JSON array.
   *
   * @param resources the resources
   */
  public static ArrayNode writeAll(Iterable<Resource> resources) {
    ArrayNode array = Json.mapper().createArrayNode();
    resources.forEach(resource -> array.add(write(resource)));
    return array;
  }
}
