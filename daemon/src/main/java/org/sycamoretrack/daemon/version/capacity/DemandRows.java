package org.sycamoretrack.daemon.version.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sycamoretrack.core.version.capacity.BatchWork;
import org.sycamoretrack.core.version.capacity.ServiceDemand;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.transport.process.Json;

/**
 * The table {@value #TABLE}: one row for each node with open batches, in the partition with the
 * empty name, with the node's id as key.
 */
final class DemandRows {
  /** The name of the table. */
  static final String TABLE = "demand";

  /** The only partition. */
  static final String PARTITION = "";

  /** Bounds a row to some 8 KB; a node owns a few batches. Later deadlines are left out. */
  private static final int MAX_BATCHES = 200;

  /**
   * The demand of a node.
   *
   * @param incarnation identifies the run of its process
   * @param services the demand by service
   */
  record NodeDemand(String incarnation, Map<String, ServiceDemand> services) {
    /** Copies the map. */
    NodeDemand {
      services = Map.copyOf(services);
    }
  }

  private DemandRows() {}

  /** Encodes the demand of a node. */
  static byte[] encode(NodeDemand demand) {
    ObjectNode json = Json.object().put("incarnation", demand.incarnation());
    ObjectNode services = json.putObject("services");
    new TreeMap<>(demand.services())
        .forEach(
            (service, each) -> {
              ObjectNode entry =
                  services
                      .putObject(service)
                      .put("slots", each.slots())
                      .put("tokensPerSlotSecond", each.tokensPerSlotSecond());
              ArrayNode work = entry.putArray("work");
              each.work().stream()
                  .sorted(Comparator.comparingLong(BatchWork::dueInMs))
                  .limit(MAX_BATCHES)
                  .forEach(batch -> putBatch(work.addObject(), batch));
              each.modelTokensPerSecond().forEach(entry.putObject("models")::put);
            });
    return Json.toBytes(json);
  }

  private static void putBatch(ObjectNode json, BatchWork batch) {
    json.put("tokens", Math.round(batch.tokens()));
    if (batch.dueInMs() != BatchWork.NO_DEADLINE) {
      json.put("dueInMs", batch.dueInMs());
    }
  }

  /**
   * Decodes the demand of a node.
   *
   * @param row the row
   * @throws IllegalArgumentException when the value of the row is malformed
   */
  static NodeDemand decode(Row row) {
    JsonNode json = Json.parse(row.value());
    Map<String, ServiceDemand> services = new HashMap<>();
    for (Map.Entry<String, JsonNode> entry : json.path("services").properties()) {
      List<BatchWork> work = new ArrayList<>();
      for (JsonNode batch : entry.getValue().path("work")) {
        work.add(
            new BatchWork(
                batch.path("tokens").asDouble(),
                batch.path("dueInMs").asLong(BatchWork.NO_DEADLINE)));
      }
      Map<String, Double> models = new HashMap<>();
      entry
          .getValue()
          .path("models")
          .properties()
          .forEach(model -> models.put(model.getKey(), model.getValue().asDouble()));
      services.put(
          entry.getKey(),
          new ServiceDemand(
              entry.getValue().path("slots").asDouble(),
              entry.getValue().path("tokensPerSlotSecond").asDouble(),
              work,
              models));
    }
    return new NodeDemand(json.path("incarnation").asText(), services);
  }
}
