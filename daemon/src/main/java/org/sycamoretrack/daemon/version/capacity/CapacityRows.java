package org.sycamoretrack.daemon.version.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sycamoretrack.core.version.capacity.CapacityPool;
import org.sycamoretrack.core.version.capacity.CapacityRecord;
import org.sycamoretrack.core.version.capacity.CapacityRecord.ZoneChange;
import org.sycamoretrack.core.version.capacity.EndpointKind;
import org.sycamoretrack.core.version.capacity.PoolRecord;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.transport.process.Json;

/**
 * The rows of ordered targets: one for each service in the partition {@code capacity} of the table
 * {@code control}.
 *
 * <p>The times of orders aren't stored, since clocks of hosts aren't compared. Only the last change
 * of a zone has a time of the wall clock; a skew of clocks delays or advances the next change in
 * the other direction, which has no other effect.
 */
final class CapacityRows {
  /** The prefix of the keys of services, which distinguishes them from the lease. */
  private static final String KEY_PREFIX = "service:";

  private CapacityRows() {}

  /** Returns the key of a service. */
  static String key(String service) {
    return KEY_PREFIX + service;
  }

  /** Returns the service of a row, or empty if the row is of another kind. */
  static Optional<String> service(Row row) {
    return row.key().startsWith(KEY_PREFIX)
        ? Optional.of(row.key().substring(KEY_PREFIX.length()))
        : Optional.empty();
  }

  /**
   * Encodes a record.
   *
   * @param record the record
   * @param nowMs the monotonic clock of its times
   * @param nowEpochMs the wall clock at the same time
   */
  static byte[] encode(CapacityRecord record, long nowMs, long nowEpochMs) {
    ObjectNode json = toJson(record);
    ObjectNode zones = json.putObject("zones");
    record
        .zones()
        .forEach(
            (zone, change) ->
                zones
                    .putObject(zone)
                    .put("increased", change.increased())
                    .put("epochMs", nowEpochMs - (nowMs - change.atMs())));
    return Json.toBytes(json);
  }

  /** Returns the baseline, the required number and the pools of a record. */
  static ObjectNode toJson(CapacityRecord record) {
    ObjectNode json =
        Json.object().put("baseline", record.baseline()).put("required", record.required());
    ObjectNode pools = json.putObject("pools");
    record
        .sortedPools()
        .forEach(
            (pool, state) ->
                pools
                    .withObject(pool.zone())
                    .putObject(label(pool.kind()))
                    .put("target", state.target())
                    .put("live", state.live())
                    .put("state", state.state().name())
                    .put("fallback", state.fallback()));
    return json;
  }

  /**
   * Decodes a record as a new holder takes it over.
   *
   * @param row the row
   * @param nowMs the monotonic clock
   * @param nowEpochMs the wall clock at the same time
   * @throws IllegalArgumentException when the value of the row is malformed
   */
  static CapacityRecord decode(Row row, long nowMs, long nowEpochMs) {
    JsonNode json = Json.parse(row.value());
    Map<CapacityPool, PoolRecord> pools = new TreeMap<>();
    for (Map.Entry<String, JsonNode> zone : json.path("pools").properties()) {
      for (EndpointKind kind : EndpointKind.values()) {
        JsonNode pool = zone.getValue().path(label(kind));
        if (pool.isObject()) {
          pools.put(
              new CapacityPool(zone.getKey(), kind),
              new PoolRecord(
                  pool.path("target").asInt(),
                  pool.path("live").asInt(),
                  PoolRecord.State.valueOf(pool.path("state").asText()),
                  nowMs,
                  nowMs,
                  pool.path("fallback").asInt()));
        }
      }
    }
    Map<String, ZoneChange> zones = new HashMap<>();
    for (Map.Entry<String, JsonNode> zone : json.path("zones").properties()) {
      long ageMs = Math.max(0, nowEpochMs - zone.getValue().path("epochMs").asLong());
      zones.put(
          zone.getKey(),
          new ZoneChange(zone.getValue().path("increased").asBoolean(), nowMs - ageMs));
    }
    return new CapacityRecord(
            json.path("baseline").asInt(), json.path("required").asInt(), pools, zones, 0, 0)
        .takeOver(nowMs);
  }

  /** Returns the name of a kind in rows, metrics and logs. */
  static String label(EndpointKind kind) {
    return kind.name().toLowerCase(Locale.ROOT);
  }
}
