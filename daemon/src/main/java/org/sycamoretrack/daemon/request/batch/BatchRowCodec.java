package org.sycamoretrack.daemon.request.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
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
import org.sycamoretrack.core.request.batch.BatchItem;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.request.batch.ItemResult;
import org.sycamoretrack.core.request.batch.ItemText;
import org.sycamoretrack.daemon.farend.PartitionWrite;
import org.sycamoretrack.daemon.farend.PartitionedStore.Row;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.process.Json;

/**
 * The form of a batch in the store. All rows of a batch are in its own partition.
 *
 * <pre>
 * table   key                 holds
 * batch   head                terms, and under which name the items are kept
 * batch   end                 that the batch was ended
 * batch   items.NAME.0000 ..  the items, cut into rows
 * batch   text.00012.0000 ..  the text so far of the item at place 12, kept by an owner that stops
 * result  00000042.0000 ..    the result at position 42, cut into rows
 * </pre>
 *
 * <p>The head is written once, on condition that there is none, in the same write as the last rows
 * of the items. So a batch exists as a whole or not at all, and rows of an attempt that lost are
 * never read: each attempt keeps its items under a name of its own.
 */
final class BatchRowCodec {
  /** The table of what was submitted. */
  static final String BATCH_TABLE = "batch";

  /** The table of results. */
  static final String RESULT_TABLE = "result";

  /** The key of the head. */
  static final String HEAD_KEY = "head";

  /** The key of the end. */
  static final String END_KEY = "end";

  /** Two thirds of the store's limit of 64 KiB, so that its text form fits in any case. */
  private static final int MAX_ROW_BYTES = 44_000;

  /** Rows of one write: under the store's 1 MB with the text form, which is a third larger. */
  static final int MAX_ROWS_PER_WRITE = 12;

  private static final String ITEMS_PREFIX = "items.";
  private static final String TEXT_PREFIX = "text.";

  private static final System.Logger LOG = System.getLogger(BatchRowCodec.class.getName());

  private BatchRowCodec() {}

  /**
   * The head of a batch.
   *
   * @param itemCount the number of its items
   * @param itemsName the name under which its items are kept
   * @param json all of it
   */
  record Head(int itemCount, String itemsName, JsonNode json) {}

  /**
   * Returns the writes that make a batch exist, in order. The last one has the head, on condition
   * that there is none; the others change nothing that is ever read without it.
   *
   * @param batch the batch
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
        .put("attempts", batch.terms().attempts())
        .put("singleVersion", batch.terms().singleVersion())
        .put("maxQueueMs", batch.terms().maxQueueMs())
        .put("dueMs", batch.terms().dueMs())
        .put("acceptedAtMs", batch.acceptedAtMs());
    List<PartitionWrite.Builder> writes = new ArrayList<>();
    PartitionWrite.Builder write = PartitionWrite.in(batch.id());
    int rows = 0;
    for (Slice slice : split(ITEMS_PREFIX + name, itemsJson(batch.items()))) {
      if (rows == MAX_ROWS_PER_WRITE) {
        writes.add(write);
        write = PartitionWrite.in(batch.id());
        rows = 0;
      }
      write.put(BATCH_TABLE, slice.key(), slice.bytes());
      rows++;
    }
    write
        .expect(BATCH_TABLE, HEAD_KEY, PartitionWrite.ABSENT)
        .put(BATCH_TABLE, HEAD_KEY, Json.bytes(head));
    writes.add(write);
    return writes;
  }

  private static byte[] itemsJson(List<BatchItem> items) {
    ArrayNode array = Json.mapper().createArrayNode();
    for (BatchItem item : items) {
      ObjectNode node =
          array
              .addObject()
              .put("id", item.id())
              .put("path", item.path())
              .put("body", item.body())
              .put("model", item.model())
              .put("group", item.group())
              .put("lengthHint", item.lengthHint());
      item.headers().forEach(node.putObject("headers")::put);
    }
    return Json.bytes(array);
  }

  /**
   * Reads a head.
   *
   * @param row the row
   * @throws IllegalArgumentException when the row can't be read
   */
  static Head readHead(Row row) {
    JsonNode json = Json.parse(row.value());
    return new Head(json.path("items").asInt(), json.path("name").asText(), json);
  }

  /**
   * Reads a batch.
   *
   * @param batchId its id
   * @param rows all of its rows in the table {@link #BATCH_TABLE}
   * @throws IllegalArgumentException when the rows can't be read
   */
  static BatchSubmission readSubmission(String batchId, List<Row> rows) {
    Row headRow =
        rows.stream()
            .filter(row -> row.key().equals(HEAD_KEY))
            .findFirst()
            .orElseThrow(() -> new IllegalArgumentException("the batch has no head"));
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
        new BatchSubmission.Terms(
            json.path("attempts").asInt(),
            json.path("singleVersion").asBoolean(),
            json.path("maxQueueMs").asLong(),
            json.path("dueMs").asLong()),
        json.path("acceptedAtMs").asLong(),
        readItems(Json.parse(items)));
  }

  private static List<BatchItem> readItems(JsonNode array) {
    List<BatchItem> items = new ArrayList<>();
    for (JsonNode node : array) {
      Map<String, String> headers = new TreeMap<>();
      node.path("headers")
          .properties()
          .forEach(header -> headers.put(header.getKey(), header.getValue().asText()));
      items.add(
          new BatchItem(
              items.size(),
              node.path("id").asText(),
              node.path("path").asText(),
              headers,
              bytes(node.path("body")),
              node.path("model").asText(),
              node.path("group").asText(),
              node.path("lengthHint").asInt()));
    }
    return items;
  }

  private static byte[] bytes(JsonNode node) {
    try {
      return node.binaryValue() == null ? new byte[0] : node.binaryValue();
    } catch (IOException e) {
      throw new IllegalArgumentException("the body of an item can't be read", e);
    }
  }

  /**
   * Adds the rows of a result to a write.
   *
   * @param write the write
   * @param position the position of the result
   * @param result the result
   */
  static void putResult(PartitionWrite.Builder write, int position, ItemResult result) {
    ObjectNode json =
        Json.object()
            .put("id", result.itemId())
            .put("completed", result.completed())
            .put("text", result.text());
    result.versions().forEach(json.withArray("versions")::add);
    split(positionKey(position), Json.bytes(json))
        .forEach(slice -> write.put(RESULT_TABLE, slice.key(), slice.bytes()));
  }

  /** Returns the key that the rows of a position begin with. */
  static String positionKey(int position) {
    return String.format(Locale.ROOT, "%08d", position);
  }

  /** Returns the key of the first row of a position. */
  static String firstRowKey(int position) {
    return positionKey(position) + ".0000";
  }

  /**
   * Reads results.
   *
   * @param rows whole results in the order of their positions
   * @throws IllegalArgumentException when the rows can't be read
   */
  static List<ItemResult> readResults(List<Row> rows) {
    Map<String, List<Row>> byPosition = new TreeMap<>();
    for (Row row : rows) {
      String position = row.key().substring(0, row.key().indexOf('.'));
      byPosition.computeIfAbsent(position, any -> new ArrayList<>()).add(row);
    }
    List<ItemResult> results = new ArrayList<>();
    for (List<Row> slices : byPosition.values()) {
      JsonNode json = Json.parse(join(slices));
      results.add(
          new ItemResult(
              json.path("id").asText(),
              json.path("completed").asBoolean(),
              json.path("text").asText(),
              versions(json)));
    }
    return results;
  }

  /**
   * Returns the rows that keep the text of an item that isn't finished.
   *
   * @param index the place of the item in its batch
   * @param text its text so far
   */
  static List<Slice> textRows(int index, ItemText text) {
    ObjectNode json = Json.object().put("last", text.lastEvent()).put("data", text.data());
    text.versions().forEach(json.withArray("versions")::add);
    String key = String.format(Locale.ROOT, "%s%05d", TEXT_PREFIX, index);
    return split(key, Json.bytes(json));
  }

  /**
   * Reads the texts that an earlier owner kept. A text that can't be read is left out: its item is
   * generated from the beginning.
   *
   * @param rows all rows of the batch in the table {@link #BATCH_TABLE}
   * @return the texts by the place of their items
   */
  static Map<Integer, ItemText> readTexts(List<Row> rows) {
    Map<Integer, List<Row>> byItem = new TreeMap<>();
    for (Row row : rows) {
      if (row.key().startsWith(TEXT_PREFIX)) {
        int index = Integer.parseInt(row.key(), TEXT_PREFIX.length(), TEXT_PREFIX.length() + 5, 10);
        byItem.computeIfAbsent(index, any -> new ArrayList<>()).add(row);
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
    return new ItemText(json.path("data").asText(), json.path("last").asInt(), versions(json));
  }

  private static List<Integer> versions(JsonNode json) {
    List<Integer> versions = new ArrayList<>();
    json.path("versions").forEach(version -> versions.add(version.asInt()));
    return versions;
  }

  /** A part of a value that is larger than a row. */
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
