package org.sycamoretrack.cli.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.sycamoretrack.cli.process.CliException;
import org.sycamoretrack.transport.process.Json;

/** Parses selectors of the command line: {@code key=value,key=value} or JSON. */
final class SelectorParser {
  private SelectorParser() {}

  static JsonNode parse(String text) {
    if (text.startsWith("{")) {
      try {
        return Json.parse(text.getBytes(StandardCharsets.UTF_8));
      } catch (IllegalArgumentException e) {
        throw invalid(text);
      }
    }
    ObjectNode selector = Json.object();
    ObjectNode labels = selector.putObject("matchLabels");
    for (String pair : text.split(",", -1)) {
      int equals = pair.indexOf('=');
      if (equals <= 0) {
        throw invalid(text);
      }
      labels.put(pair.substring(0, equals).strip(), pair.substring(equals + 1).strip());
    }
    return selector;
  }

  private static CliException invalid(String text) {
    return CliException.usage(
        "'" + text + "' is not a selector",
        "use the form zone=svea-a,rack=2 or a selector in JSON");
  }
}
