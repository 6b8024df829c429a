package org.sycamoretrack.daemon.version.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.core.process.Lease;
import org.sycamoretrack.core.process.ownership.NodeRecord;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.transport.process.Json;

/**
 * The names and the JSON format of the rows through which nodes coordinate.
 *
 * <table>
 *   <caption>Rows</caption>
 *   <tr><th>table</th><th>partition</th><th>key</th><th>holds</th></tr>
 *   <tr><td>control</td><td>a batch</td><td>owner</td><td>the node that runs it</td></tr>
 *   <tr><td>control</td><td>orders</td><td>lease</td><td>who may send load commands</td></tr>
 *   <tr><td>duties</td><td>usage</td><td>lease</td><td>who may report usage</td></tr>
 *   <tr><td>duties</td><td>capacity</td><td>lease</td><td>who may order capacity</td></tr>
 *   <tr><td>control</td><td>orders</td><td>weights</td><td>the {@link WeightPlan}</td></tr>
 *   <tr><td>control</td><td>reports</td><td>a node</td><td>its {@link EndpointReports}</td></tr>
 *   <tr><td>control</td><td>capacity</td><td>a service</td><td>its ordered targets</td></tr>
 *   <tr><td>demand</td><td>(empty)</td><td>a node</td><td>the work of its open batches</td></tr>
 *   <tr><td>nodes</td><td>(empty)</td><td>a node</td><td>its heartbeat</td></tr>
 * </table>
 *
 * <p>Clients choose the ids of batches, so a batch may have the id {@value #ORDERS} or {@value
 * #REPORTS}, or that of another partition named here. Its row does not conflict, since the keys
 * differ.
 */
public final class ControlTables {
  /** The table of owners and leases, which all nodes watch. */
  public static final String CONTROL = "control";

  /**
   * The table of the leases of duties at the control service. No node watches it, since each
   * renewal would end the polls of all nodes.
   */
  public static final String DUTIES = "duties";

  /** The table of heartbeats, which all nodes poll. */
  public static final String NODES = "nodes";

  /** The partition with the rows about load commands. */
  public static final String ORDERS = "orders";

  /** The key of the lease in the partition of a duty, such as {@link #ORDERS}. */
  public static final String LEASE = "lease";

  /** The key of the {@link WeightPlan} in {@link #ORDERS}. */
  public static final String WEIGHTS = "weights";

  /** The key of a batch's owner in the partition of the batch. */
  public static final String OWNER = "owner";

  /** The partition with what nodes observed of endpoints. */
  public static final String REPORTS = "reports";

  /** The prefix of a node's key in {@link #REPORTS}. */
  private static final String REPORT_KEY_PREFIX = "node:";

  private ControlTables() {}

  /** Returns the key of a node's row in {@link #REPORTS}. */
  public static String reportKey(String nodeId) {
    return REPORT_KEY_PREFIX + nodeId;
  }

  /** Returns whether a row holds {@link EndpointReports}. */
  public static boolean isReportRow(Row row) {
    return row.partition().equals(REPORTS) && row.key().startsWith(REPORT_KEY_PREFIX);
  }

  /**
   * A crash of an endpoint, attributed to a request that ran on it.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoint the id of the endpoint
   * @param crashId the id of the crash, unique among all nodes
   * @param epochMs when it was observed, by the wall clock of the node that observed it
   */
  public record CrashReport(String fingerprint, String endpoint, String crashId, long epochMs) {}

  /**
   * An instance of an endpoint that has said that it is leaving.
   *
   * @param endpoint the id of the endpoint
   * @param startedAtMs the start time of the instance, 0 if unknown
   */
  public record LeavingReport(String endpoint, long startedAtMs) {}

  /**
   * What a node observed of endpoints.
   *
   * @param observer the node
   * @param crashes the crashes that still count against requests
   * @param leaving the instances that said that they are leaving
   */
  public record EndpointReports(
      String observer, List<CrashReport> crashes, List<LeavingReport> leaving) {
    /** Copies the lists. */
    public EndpointReports {
      crashes = List.copyOf(crashes);
      leaving = List.copyOf(leaving);
    }
  }

  /** Encodes the reports of a node. */
  public static byte[] encode(EndpointReports reports) {
    ObjectNode json = Json.object();
    ArrayNode crashes = json.putArray("crashes");
    for (CrashReport crash : reports.crashes()) {
      crashes
          .addObject()
          .put("fingerprint", crash.fingerprint())
          .put("endpoint", crash.endpoint())
          .put("crash", crash.crashId())
          .put("epochMs", crash.epochMs());
    }
    ArrayNode leaving = json.putArray("leaving");
    for (LeavingReport report : reports.leaving()) {
      leaving
          .addObject()
          .put("endpoint", report.endpoint())
          .put("startedAtMs", report.startedAtMs());
    }
    return Json.toBytes(json);
  }

  /**
   * Decodes the reports of a node.
   *
   * @param row the row
   * @throws IllegalArgumentException when the value of the row is malformed
   */
  public static EndpointReports decodeReports(Row row) {
    JsonNode json = Json.parse(row.value());
    List<CrashReport> crashes = new ArrayList<>();
    for (JsonNode crash : json.path("crashes")) {
      crashes.add(
          new CrashReport(
              crash.path("fingerprint").asText(),
              crash.path("endpoint").asText(),
              crash.path("crash").asText(),
              crash.path("epochMs").asLong()));
    }
    List<LeavingReport> leaving = new ArrayList<>();
    for (JsonNode report : json.path("leaving")) {
      leaving.add(
          new LeavingReport(report.path("endpoint").asText(), report.path("startedAtMs").asLong()));
    }
    String observer = row.key().substring(REPORT_KEY_PREFIX.length());
    return new EndpointReports(observer, crashes, leaving);
  }

  /**
   * The owner of a batch.
   *
   * @param batchId the batch
   * @param nodeId the node
   * @param incarnation identifies the run of its process
   * @param version the version of the row, or 0 when it was not written yet
   */
  public record Owner(String batchId, String nodeId, String incarnation, long version) {}

  /**
   * The model versions that an endpoint serves, and the models that it loads.
   *
   * @param versions the served version by model
   * @param loading the models for which a load was planned and has not ended
   */
  public record EndpointWeights(Map<String, Integer> versions, List<String> loading) {
    /** Copies the collections. */
    public EndpointWeights {
      versions = Map.copyOf(versions);
      loading = List.copyOf(loading);
    }
  }

  /**
   * The assignment of endpoints to models, and the state of these endpoints.
   *
   * @param shares the ids of the assigned endpoints by model
   * @param endpoints the state by endpoint id
   */
  public record WeightPlan(
      Map<String, List<String>> shares, Map<String, EndpointWeights> endpoints) {
    /** A plan that assigns no endpoints. */
    public static final WeightPlan EMPTY = new WeightPlan(Map.of(), Map.of());

    /** Copies the collections. */
    public WeightPlan {
      shares = Map.copyOf(shares);
      endpoints = Map.copyOf(endpoints);
    }
  }

  /** Encodes an owner. */
  public static byte[] encode(Owner owner) {
    return Json.toBytes(
        Json.object().put("node", owner.nodeId()).put("incarnation", owner.incarnation()));
  }

  /**
   * Decodes an owner.
   *
   * @param row the row
   * @throws IllegalArgumentException when the value of the row is malformed
   */
  public static Owner decodeOwner(Row row) {
    JsonNode json = Json.parse(row.value());
    return new Owner(
        row.partition(),
        json.path("node").asText(),
        json.path("incarnation").asText(),
        row.version());
  }

  /** Encodes the record of a node. */
  public static byte[] encode(NodeRecord node) {
    return Json.toBytes(
        Json.object()
            .put("incarnation", node.incarnation())
            .put("zone", node.zone())
            .put("peerAddress", node.peerAddress())
            .put("heartbeat", node.heartbeat())
            .put("leaving", node.leaving()));
  }

  /**
   * Decodes the record of a node.
   *
   * @param row the row
   * @throws IllegalArgumentException when the value of the row is malformed
   */
  public static NodeRecord decodeNode(Row row) {
    JsonNode json = Json.parse(row.value());
    return new NodeRecord(
        row.key(),
        json.path("incarnation").asText(),
        json.path("zone").asText(),
        json.path("peerAddress").asText(),
        json.path("heartbeat").asLong(),
        json.path("leaving").asBoolean());
  }

  /**
   * Encodes a lease.
   *
   * @param lease the lease
   * @param holder the host that holds it
   * @param handoverRemainingMs how much longer the holder must wait after the previous holder
   */
  public static byte[] encode(Lease.Row lease, String holder, long handoverRemainingMs) {
    return Json.toBytes(
        Json.object()
            .put("holder", holder)
            .put("epoch", lease.epoch())
            .put("incarnation", lease.incarnation())
            .put("sequence", lease.sequence())
            .put("released", lease.released())
            .put("handoverRemainingMs", handoverRemainingMs));
  }

  /**
   * Returns how much longer the holder of a lease had to wait after the previous holder when it
   * wrote the row, or a default when the row doesn't say so.
   */
  public static long decodeHandoverRemainingMs(Row row, long defaultMs) {
    return Json.parse(row.value()).path("handoverRemainingMs").asLong(defaultMs);
  }

  /**
   * Decodes a lease.
   *
   * @param row the row
   * @throws IllegalArgumentException when the value of the row is malformed
   */
  public static Lease.Row decodeLease(Row row) {
    JsonNode json = Json.parse(row.value());
    return new Lease.Row(
        row.version(),
        json.path("epoch").asLong(),
        json.path("incarnation").asText(),
        json.path("sequence").asLong(),
        json.path("released").asBoolean());
  }

  /**
   * Returns the host that holds the lease according to a row, or an empty string when the row names
   * none.
   */
  public static String decodeHolder(Row row) {
    return Json.parse(row.value()).path("holder").asText();
  }

  /** Encodes a plan. */
  public static byte[] encode(WeightPlan plan) {
    ObjectNode shares = Json.object();
    plan.shares().forEach((model, ids) -> ids.forEach(shares.withArray(model)::add));
    ObjectNode endpoints = Json.object();
    plan.endpoints()
        .forEach(
            (id, weights) -> {
              ObjectNode entry = endpoints.putObject(id);
              ObjectNode versions = entry.putObject("versions");
              weights.versions().forEach(versions::put);
              weights.loading().forEach(entry.withArray("loading")::add);
            });
    ObjectNode json = Json.object();
    json.set("shares", shares);
    json.set("endpoints", endpoints);
    return Json.toBytes(json);
  }

  /**
   * Decodes a plan.
   *
   * @param row the row
   * @throws IllegalArgumentException when the value of the row is malformed
   */
  public static WeightPlan decodePlan(Row row) {
    JsonNode json = Json.parse(row.value());
    Map<String, List<String>> shares = new HashMap<>();
    json.path("shares")
        .properties()
        .forEach(entry -> shares.put(entry.getKey(), strings(entry.getValue())));
    Map<String, EndpointWeights> endpoints = new HashMap<>();
    json.path("endpoints")
        .properties()
        .forEach(
            entry -> {
              Map<String, Integer> versions = new HashMap<>();
              entry
                  .getValue()
                  .path("versions")
                  .properties()
                  .forEach(version -> versions.put(version.getKey(), version.getValue().asInt()));
              List<String> loading = strings(entry.getValue().path("loading"));
              endpoints.put(entry.getKey(), new EndpointWeights(versions, loading));
            });
    return new WeightPlan(shares, endpoints);
  }

  private static List<String> strings(JsonNode array) {
    List<String> texts = new ArrayList<>();
    array.forEach(text -> texts.add(text.asText()));
    return texts;
  }
}
