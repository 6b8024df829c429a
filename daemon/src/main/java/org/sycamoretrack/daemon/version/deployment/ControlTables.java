package org.sycamoretrack.daemon.version.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.core.process.Lease;
import org.sycamoretrack.core.process.ownership.NodeRecord;
import org.sycamoretrack.daemon.farend.PartitionedStore.Row;
import org.sycamoretrack.transport.process.Json;

/**
 * The names and the form of the rows with which nodes coordinate.
 *
 * <table>
 *   <caption>Rows</caption>
 *   <tr><th>table</th><th>partition</th><th>key</th><th>holds</th></tr>
 *   <tr><td>control</td><td>a batch</td><td>owner</td><td>the node that runs it</td></tr>
 *   <tr><td>control</td><td>orders</td><td>lease</td><td>who may give orders</td></tr>
 *   <tr><td>control</td><td>orders</td><td>weights</td><td>shares and versions</td></tr>
 *   <tr><td>nodes</td><td>(empty)</td><td>a node</td><td>its heartbeat</td></tr>
 * </table>
 *
 * <p>Batches have ids of their own choice, so {@value #ORDERS} may be one too; the keys differ.
 */
public final class ControlTables {
  /** The table of owners and leases, which all nodes watch. */
  public static final String CONTROL = "control";

  /** The table of heartbeats, which all nodes read at an interval. */
  public static final String NODES = "nodes";

  /** The partition of what concerns orders. */
  public static final String ORDERS = "orders";

  /** The key of the lease in {@link #ORDERS}. */
  public static final String LEASE = "lease";

  /** The key of shares and versions in {@link #ORDERS}. */
  public static final String WEIGHTS = "weights";

  /** The key of the owner in a batch's partition. */
  public static final String OWNER = "owner";

  private ControlTables() {}

  /**
   * The owner of a batch.
   *
   * @param batchId the batch
   * @param nodeId the node
   * @param incarnation the run of its process
   * @param version the version of the row, 0 when it is not written yet
   */
  public record Owner(String batchId, String nodeId, String incarnation, long version) {}

  /**
   * What an endpoint is known to serve and load.
   *
   * @param versions the version by model
   * @param loading the models whose weights it is being ordered to load
   */
  public record EndpointWeights(Map<String, Integer> versions, List<String> loading) {
    /** Copies the parts. */
    public EndpointWeights {
      versions = Map.copyOf(versions);
      loading = List.copyOf(loading);
    }
  }

  /**
   * The shares of the models and the state of their endpoints.
   *
   * @param shares the endpoints by model
   * @param endpoints the state by endpoint
   */
  public record WeightPlan(
      Map<String, List<String>> shares, Map<String, EndpointWeights> endpoints) {
    /** A plan without shares. */
    public static final WeightPlan EMPTY = new WeightPlan(Map.of(), Map.of());

    /** Copies the parts. */
    public WeightPlan {
      shares = Map.copyOf(shares);
      endpoints = Map.copyOf(endpoints);
    }
  }

  /** Writes an owner. */
  public static byte[] write(Owner owner) {
    return Json.bytes(
        Json.object().put("node", owner.nodeId()).put("incarnation", owner.incarnation()));
  }

  /**
   * Reads an owner.
   *
   * @param row the row
   * @throws IllegalArgumentException when the row can't be read
   */
  public static Owner readOwner(Row row) {
    JsonNode json = Json.parse(row.value());
    return new Owner(
        row.partition(),
        json.path("node").asText(),
        json.path("incarnation").asText(),
        row.version());
  }

  /** Writes a node. */
  public static byte[] write(NodeRecord node) {
    return Json.bytes(
        Json.object()
            .put("incarnation", node.incarnation())
            .put("zone", node.zone())
            .put("peerAddress", node.peerAddress())
            .put("heartbeat", node.heartbeat())
            .put("leaving", node.leaving()));
  }

  /**
   * Reads a node.
   *
   * @param row the row
   * @throws IllegalArgumentException when the row can't be read
   */
  public static NodeRecord readNode(Row row) {
    JsonNode json = Json.parse(row.value());
    return new NodeRecord(
        row.key(),
        json.path("incarnation").asText(),
        json.path("zone").asText(),
        json.path("peerAddress").asText(),
        json.path("heartbeat").asLong(),
        json.path("leaving").asBoolean());
  }

  /** Writes a lease with the host that holds it. */
  public static byte[] write(Lease.Row lease, String holder) {
    return Json.bytes(
        Json.object()
            .put("holder", holder)
            .put("epoch", lease.epoch())
            .put("incarnation", lease.incarnation())
            .put("sequence", lease.sequence())
            .put("released", lease.released()));
  }

  /**
   * Reads a lease.
   *
   * @param row the row
   * @throws IllegalArgumentException when the row can't be read
   */
  public static Lease.Row readLease(Row row) {
    JsonNode json = Json.parse(row.value());
    return new Lease.Row(
        row.version(),
        json.path("epoch").asLong(),
        json.path("incarnation").asText(),
        json.path("sequence").asLong(),
        json.path("released").asBoolean());
  }

  /** Returns the host that a lease's row names, empty when it names none. */
  public static String readHolder(Row row) {
    return Json.parse(row.value()).path("holder").asText();
  }

  /** Writes a plan. */
  public static byte[] write(WeightPlan plan) {
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
    return Json.bytes(json);
  }

  /**
   * Reads a plan.
   *
   * @param row the row
   * @throws IllegalArgumentException when the row can't be read
   */
  public static WeightPlan readPlan(Row row) {
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
