package org.sycamoretrack.cli.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.sycamoretrack.cli.process.CliException;
import org.sycamoretrack.transport.process.Json;

/** Reads a resource file: one resource, an array of them, or an object with such an array. */
final class ResourceFile {
  private static final String STDIN = "-";

  /** Kinds are listed before the kinds that refer to them. */
  private static final List<String> KINDS_IN_DEPENDENCY_ORDER =
      List.of("pools", "services", "endpoints", "trainer-groups", "tracks", "drains");

  private ResourceFile() {}

  /** Returns the resources, sorted so that each comes after those that it refers to. */
  static List<JsonNode> read(String file, InputStream stdin) {
    List<JsonNode> resources = new ArrayList<>();
    JsonNode json = parse(file, stdin);
    JsonNode list = json.has("resources") ? json.get("resources") : json.path("items");
    if (json.isArray()) {
      json.forEach(resources::add);
    } else if (list.isArray()) {
      list.forEach(resources::add);
    } else {
      resources.add(json);
    }
    resources.sort(Comparator.comparingInt(ResourceFile::dependencyRank));
    return resources;
  }

  private static JsonNode parse(String file, InputStream stdin) {
    try {
      return Json.parse(
          file.equals(STDIN) ? stdin.readAllBytes() : Files.readAllBytes(Path.of(file)));
    } catch (IOException e) {
      throw CliException.usage(
          "can't read " + file + ": " + e, "specify a file, or - for the standard input");
    } catch (IllegalArgumentException e) {
      throw CliException.usage(file + " is " + e.getMessage(), "resource files must be JSON");
    }
  }

  private static int dependencyRank(JsonNode resource) {
    return KINDS_IN_DEPENDENCY_ORDER.indexOf(resource.path("kind").asText());
  }

  /** Returns {@code kind/name} of a resource. */
  static String key(JsonNode resource) {
    return resource.path("kind").asText() + "/" + resource.path("name").asText();
  }
}
