package org.sycamoretrack.daemon.request.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.request.batch.ItemProgress;
import org.sycamoretrack.core.request.batch.ItemResult;
import org.sycamoretrack.core.request.batch.ItemText;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.process.Json;

/**
 * Converts batches to rows of the store and back. All rows of a batch are in a partition of its
 * own.
 *
 * <pre>
 * table   key                 holds
 * batch   head                the parameters of the batch, and the name of its valid item rows
 * batch   end                 present when the batch was ended by its submitter
 * batch   items.NAME.0000 ..  the items, split into rows
 * batch   text.00012.0000 ..  the partial text of the item with index 12
 * batch   failures.00012      the failed runs of the item with index 12
 * result  00000042.0000 ..    the result at position 42, split into rows
 * </pre>
 *
 * <p>The head is written in the same transaction as the last item rows, on the condition that no
 * head exists. A batch therefore exists completely or not at all. Each attempt to submit a batch
 * stores its items under a unique name, so the rows of an attempt that lost the race are never
 * read.
 */
final class BatchRowCodec {
  /** The table of submitted batches. */
  static final String BATCH_TABLE = "batch";

  /** The table of results. */
  static final String RESULT_TABLE = "result";

  /** The key of the head row. */
  static final String HEAD_KEY = "head";

  /** The key of the row that marks a batch as ended. */
  static final String END_KEY = "end";

  /** Two thirds of the store's limit of 64 KiB, which leaves room for the text encoding. */
  private static final int MAX_ROW_BYTES = 44_000;

  /** Keeps a write below the store's limit of 1 MB; the text encoding is a third larger. */
  static final int MAX_ROWS_PER_WRITE = 12;

  /** Field of the head; rows of batches without a customer don't have it. */
  private static final String CUSTOMER = "customer";

  /** Field of the head; rows of batches with the highest priority don't have it. */
  private static final String PRIORITY = "priority";

  private static final String ITEMS_PREFIX = "items.";
  private static final String TEXT_PREFIX = "text.";
  private static final String FAILURES_PREFIX = "failures.";

  private static final System.Logger LOG = System.getLogger(BatchRowCodec.class.getName());

  private BatchRowCodec() {}

  /**
   * The head row of a batch.
   *
   * @param itemCount the number of items
   * @param itemsName the name in the keys of the valid item rows
   * @param customer the name of the customer that submitted the batch, empty if there is none
   * @param json the content of the row
   */
  record Head(int itemCount, String itemsName, String customer, JsonNode json) {}

  /**
   * Returns the writes that store a submitted batch, in order, each on the condition that no head
   * exists. The last one contains the head; the rows of the others aren't read until a head refers
   * to them.
   *
   * @param batch the submitted batch
   */
  static List<PartitionWrite.Builder> submissionWrites(BatchSubmission batch) {
    String name = UUID.randomUUID().toString();
    ObjectNode head = Json.object();
    head.put("items", batch.items().size())
        .put("name", name)
        .put("host", batch.host())
        .put("service", batch.service())
        .put("minVersion", batch.minVersion())
        .put("targetGroups", batch.targetGroups())
        .put("attempts", batch.routeSettings().attempts())
        .put("singleVersion", batch.routeSettings().singleVersion())
        .put("maxQueueMs", batch.routeSettings().maxQueueMs())
        .put("dueMs", batch.routeSettings().dueMs())
        .put("acceptedAtMs", batch.acceptedAtMs());
    if (!batch.customer().isEmpty()) {
      head.put(CUSTOMER, batch.customer());
    }
    if (batch.priority() != 0) {
      head.put(PRIORITY, batch.priority());
    }
    List<PartitionWrite.Builder> writes = new ArrayList<>();
    PartitionWrite.Builder write = beforeHead(batch.id());
    int rows = 0;
    for (Slice slice : split(ITEMS_PREFIX + name, BatchItemCodec.encode(batch.items()))) {
      if (rows == MAX_ROWS_PER_WRITE) {
        writes.add(write);
        write = beforeHead(batch.id());
        rows = 0;
      }
      write.put(BATCH_TABLE, slice.key(), slice.bytes());
      rows++;
    }
    write.put(BATCH_TABLE, HEAD_KEY, Json.toBytes(head));
    writes.add(write);
    return writes;
  }

  /**
   * Returns whether a batch has ended.
   *
   * @param rows all rows of the batch in {@link #BATCH_TABLE}
   */
  static boolean isEnded(List<Row> rows) {
    return rows.stream().anyMatch(row -> row.key().equals(END_KEY));
  }

  /** Returns a write that has no effect if a batch has the id, which may be another customer's. */
  private static PartitionWrite.Builder beforeHead(String batchId) {
    return PartitionWrite.in(batchId).expect(BATCH_TABLE, HEAD_KEY, PartitionWrite.ABSENT);
  }

  /**
   * Reads a head row.
   *
   * @param row the row
   * @throws IllegalArgumentException if the row is malformed
   */
  static Head readHead(Row row) {
    JsonNode json = Json.parse(row.value());
    return new Head(
        json.path("items").asInt(), json.path("name").asText(), json.path(CUSTOMER).asText(), json);
  }

  /**
   * Reads a batch.
   *
   * @param batchId the id of the batch
   * @param rows all rows of the batch in the table {@link #BATCH_TABLE}
   * @throws IllegalArgumentException if the head is missing or a row is malformed
   */
  static BatchSubmission readSubmission(String batchId, List<Row> rows) {
    Row headRow =
        rows.stream()
            .filter(row -> row.key().equals(HEAD_KEY))
            .findFirst()
            .orElseThrow(() -> new IllegalArgumentException("the batch has no head row"));
    Head head = readHead(headRow);
    JsonNode json = head.json();
    String prefix = ITEMS_PREFIX + head.itemsName() + '.';
    byte[] items = join(rows.stream().filter(row -> row.key().startsWith(prefix)).toList());
    return new BatchSubmission(
        batchId,
        json.path("host").asText(),
        json.path("service").asText(),
        json.path("minVersion").asInt(),
        json.path("targetGroups").asInt(),
        new BatchSubmission.RouteSettings(
            json.path("attempts").asInt(),
            json.path("singleVersion").asBoolean(),
            json.path("maxQueueMs").asLong(),
            json.path("dueMs").asLong()),
        json.path("acceptedAtMs").asLong(),
        BatchItemCodec.decode(items),
        head.customer(),
        json.path(PRIORITY).asInt());
  }

  /**
   * Adds the rows of a result to a write.
   *
   * @param write the write to add to
   * @param position the position of the result in the batch
   * @param result the result
   */
  static void putResult(PartitionWrite.Builder write, int position, ItemResult result) {
    ObjectNode json =
        Json.object()
            .put("id", result.itemId())
            .put("completed", result.completed())
            .put("text", result.text());
    if (!result.score().isEmpty()) {
      json.put("score", result.score());
    }
    result.versions().forEach(json.withArray("versions")::add);
    split(positionKey(position), Json.toBytes(json))
        .forEach(slice -> write.put(RESULT_TABLE, slice.key(), slice.bytes()));
  }

  /** Returns the key prefix of the rows of the result at a position. */
  static String positionKey(int position) {
    return String.format(Locale.ROOT, "%08d", position);
  }

  /** Returns the key of the first row of the result at a position. */
  static String firstRowKey(int position) {
    return positionKey(position) + ".0000";
  }

  /**
   * Reads results.
   *
   * @param rows the rows of complete results
   * @return the results in the order of their positions
   * @throws IllegalArgumentException if a row is malformed
   */
  static List<ItemResult> readResults(List<Row> rows) {
    Map<String, List<Row>> byPosition = new TreeMap<>();
    for (Row row : rows) {
      String position = row.key().substring(0, row.key().indexOf('.'));
      byPosition.computeIfAbsent(position, unused -> new ArrayList<>()).add(row);
    }
    List<ItemResult> results = new ArrayList<>();
    for (List<Row> slices : byPosition.values()) {
      JsonNode json = Json.parse(join(slices));
      results.add(
          new ItemResult(
              json.path("id").asText(),
              json.path("completed").asBoolean(),
              json.path("text").asText(),
              versions(json),
              json.path("score").asText()));
    }
    return results;
  }

  /**
   * Returns the rows that store the partial text of an unfinished item.
   *
   * @param index the index of the item in its batch
   * @param text the text generated so far
   */
  static List<Slice> textRows(int index, ItemText text) {
    ObjectNode json =
        Json.object()
            .put("last", text.lastEvent())
            .put("data", text.data())
            .put("complete", text.isComplete());
    text.versions().forEach(json.withArray("versions")::add);
    String key = String.format(Locale.ROOT, "%s%05d", TEXT_PREFIX, index);
    return split(key, Json.toBytes(json));
  }

  /**
   * Reads the partial texts that an earlier owner saved. Malformed texts are skipped; their items
   * are generated from the beginning.
   *
   * @param rows all rows of the batch in the table {@link #BATCH_TABLE}
   * @return the texts by the index of their items
   */
  static Map<Integer, ItemText> readTexts(List<Row> rows) {
    Map<Integer, List<Row>> byItem = new TreeMap<>();
    for (Row row : rows) {
      if (row.key().startsWith(TEXT_PREFIX)) {
        int index = Integer.parseInt(row.key(), TEXT_PREFIX.length(), TEXT_PREFIX.length() + 5, 10);
        byItem.computeIfAbsent(index, unused -> new ArrayList<>()).add(row);
      }
    }
    Map<Integer, ItemText> texts = new TreeMap<>();
    byItem.forEach(
        (index, slices) -> {
          try {
            texts.put(index, readText(Json.parse(join(slices))));
          } catch (IllegalArgumentException e) {
            LOG.log(
                System.Logger.Level.WARNING,
                LogEvent.of("item-text-unreadable")
                    .with("item", index)
                    .with("rows", slices.size())
                    .with("reason", e.getMessage()));
          }
        });
    return texts;
  }

  private static ItemText readText(JsonNode json) {
    ItemText text =
        new ItemText(json.path("data").asText(), json.path("last").asInt(), versions(json));
    if (json.path("complete").asBoolean()) {
      text.markComplete();
    }
    return text;
  }

  /** Returns the row that stores the failed runs of an item. */
  static Slice failureRow(ItemProgress item) {
    ObjectNode json =
        Json.object().put("failures", item.failures()).put("impossible", item.isImpossible());
    String key = String.format(Locale.ROOT, "%s%05d", FAILURES_PREFIX, item.item().index());
    return new Slice(key, Json.toBytes(json));
  }

  /**
   * Gives items the failed runs that an earlier owner saved. Malformed rows are skipped; the runs
   * of their items count from zero.
   *
   * @param rows all rows of the batch in the table {@link #BATCH_TABLE}
   * @param items the items by their index
   */
  static void restoreFailures(List<Row> rows, List<ItemProgress> items) {
    for (Row row : rows) {
      if (!row.key().startsWith(FAILURES_PREFIX)) {
        continue;
      }
      try {
        int index = Integer.parseInt(row.key().substring(FAILURES_PREFIX.length()));
        JsonNode json = Json.parse(row.value());
        items
            .get(index)
            .restoreFailures(json.path("failures").asInt(), json.path("impossible").asBoolean());
      } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
        LOG.log(
            System.Logger.Level.WARNING,
            LogEvent.of("item-failures-unreadable")
                .with("row", row.key())
                .with("reason", e.getMessage()));
      }
    }
  }

  private static List<Integer> versions(JsonNode json) {
    List<Integer> versions = new ArrayList<>();
    json.path("versions").forEach(version -> versions.add(version.asInt()));
    return versions;
  }

  /** A part of a value that may be larger than a row. */
  @SuppressWarnings("ArrayRecordComponent")
  record Slice(String key, byte[] bytes) {}

  private static List<Slice> split(String key, byte[] bytes) {
    List<Slice> slices = new ArrayList<>();
    int start = 0;
    do {
      int end = Math.min(bytes.length, start + MAX_ROW_BYTES);
      slices.add(
          new Slice(
              String.format(Locale.ROOT, "%s.%04d", key, slices.size()),
              Arrays.copyOfRange(bytes, start, end)));
      start = end;
    } while (start < bytes.length);
    return slices;
  }

  private static byte[] join(List<Row> rows) {
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    try {
      for (Row row : rows) {
        joined.write(row.value());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return joined.toByteArray();
  }
}
