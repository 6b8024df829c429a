package org.sycamoretrack.daemon.request.usage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.transport.process.Json;

/**
 * The names and the JSON format of the rows with usage. The table has a partition for each window,
 * with a row for each process that counted requests in it, and the {@link Report} that was summed
 * from them. The partition of the duty in the control table has the first window of the deployment.
 */
final class UsageTable {
  static final String USAGE = "usage";

  /** The key of the {@link Report}; keys of counts contain a slash. */
  static final String REPORT = "report";

  /** The key of the first window of the deployment, in the control table. */
  static final String START = "start";

  private UsageTable() {}

  /**
   * The report of a window.
   *
   * @param counts the requests by customer
   * @param accepted whether the control service is known to have the report
   */
  record Report(SortedMap<String, Long> counts, boolean accepted) {
    Report {
      counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
    }
  }

  /** Returns the partition of a window. */
  static String partition(long window) {
    return Long.toString(window);
  }

  /** Returns the key of the counts of a process. */
  static String countsKey(String nodeId, String incarnation) {
    return nodeId + '/' + incarnation;
  }

  static byte[] encodeCounts(Map<String, Long> counts) {
    return Json.toBytes(object(counts));
  }

  /**
   * Decodes the counts of a process.
   *
   * @throws IllegalArgumentException when the value is malformed
   */
  static SortedMap<String, Long> decodeCounts(Row row) {
    return counts(Json.parse(row.value()));
  }

  static byte[] encodeReport(Report report) {
    return Json.toBytes(object(report.counts()).put("accepted", report.accepted()));
  }

  /**
   * Decodes a report.
   *
   * @throws IllegalArgumentException when the value is malformed
   */
  static Report decodeReport(Row row) {
    JsonNode json = Json.parse(row.value());
    return new Report(counts(json), json.path("accepted").asBoolean());
  }

  static byte[] encodeStart(long window) {
    return Json.toBytes(Json.object().put("window", window));
  }

  /**
   * Decodes the first window of the deployment.
   *
   * @throws IllegalArgumentException when the value is malformed
   */
  static long decodeStart(Row row) {
    JsonNode window = Json.parse(row.value()).path("window");
    if (!window.isIntegralNumber()) {
      throw new IllegalArgumentException("the first window of the deployment is no number");
    }
    return window.asLong();
  }

  private static ObjectNode object(Map<String, Long> counts) {
    ObjectNode json = Json.object();
    ObjectNode entries = json.putObject("counts");
    new TreeMap<>(counts).forEach(entries::put);
    return json;
  }

  private static SortedMap<String, Long> counts(JsonNode json) {
    if (!json.path("counts").isObject()) {
      throw new IllegalArgumentException("the row has no counts");
    }
    SortedMap<String, Long> counts = new TreeMap<>();
    for (Map.Entry<String, JsonNode> entry : json.get("counts").properties()) {
      if (!entry.getValue().isIntegralNumber()) {
        throw new IllegalArgumentException("the count of a customer is no number");
      }
      counts.put(entry.getKey(), entry.getValue().asLong());
    }
    return counts;
  }
}
