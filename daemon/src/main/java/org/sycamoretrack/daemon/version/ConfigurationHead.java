package org.sycamoretrack.daemon.version;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sycamoretrack.core.version.ResourceKey;
import org.sycamoretrack.core.version.ResourceKind;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.client.Transaction;
import org.sycamoretrack.transport.process.Json;

/**
 * The head row of the configuration table: the version of the accepted configuration and the latest
 * changes.
 *
 * <p>The changes let a node that is a few versions behind read only the rows that changed, and let
 * a node that got no response to a commit find out whether its change took effect.
 *
 * @param rowVersion the version of the row in the table, on which the next change is conditional
 * @param version the version of the configuration
 * @param recent the latest changes, oldest first
 */
record ConfigurationHead(long rowVersion, long version, List<Entry> recent) {
  /** The head before the first change. */
  static final ConfigurationHead NONE = new ConfigurationHead(Transaction.ABSENT, 0, List.of());

  private static final int MAX_RECENT = 64;

  /**
   * An accepted change.
   *
   * @param version the version of the configuration after the change
   * @param key the key of the changed resource
   * @param changeId the unique id of the change
   */
  record Entry(long version, ResourceKey key, String changeId) {}

  static ConfigurationHead read(Optional<TableStore.Row> row) {
    if (row.isEmpty()) {
      return NONE;
    }
    JsonNode value = row.get().value();
    List<Entry> recent = new ArrayList<>();
    for (JsonNode entry : value.path("recent")) {
      ResourceKind kind = ResourceKind.ofWireName(entry.path("kind").asText()).orElseThrow();
      recent.add(
          new Entry(
              entry.path("version").asLong(),
              new ResourceKey(kind, entry.path("name").asText()),
              entry.path("id").asText()));
    }
    return new ConfigurationHead(row.get().version(), value.path("version").asLong(), recent);
  }

  /** Returns the value of the row after another change. */
  JsonNode valueAfter(ResourceKey key, String changeId) {
    ObjectNode value = Json.object().put("version", version + 1);
    ArrayNode entries = value.putArray("recent");
    int from = Math.max(0, recent.size() + 1 - MAX_RECENT);
    recent.subList(from, recent.size()).forEach(entry -> write(entry, entries.addObject()));
    write(new Entry(version + 1, key, changeId), entries.addObject());
    return value;
  }

  private static void write(Entry entry, ObjectNode json) {
    json.put("version", entry.version())
        .put("kind", entry.key().kind().wireName())
        .put("name", entry.key().name())
        .put("id", entry.changeId());
  }

  /** Returns whether the recent changes include all changes after a version. */
  boolean coversChangesSince(long olderVersion) {
    return version == olderVersion
        || (!recent.isEmpty() && recent.get(0).version() <= olderVersion + 1);
  }

  /** Returns the keys of the resources that changed after a version. */
  Set<ResourceKey> changedAfter(long olderVersion) {
    Set<ResourceKey> keys = new LinkedHashSet<>();
    recent.stream()
        .filter(entry -> entry.version() > olderVersion)
        .forEach(entry -> keys.add(entry.key()));
    return keys;
  }

  boolean contains(String changeId) {
    return recent.stream().anyMatch(entry -> entry.changeId().equals(changeId));
  }
}
