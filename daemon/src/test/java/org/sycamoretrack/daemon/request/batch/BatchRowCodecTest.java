package org.sycamoretrack.daemon.request.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.request.batch.BatchItem;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.request.batch.ItemProgress;
import org.sycamoretrack.core.request.batch.ItemText;
import org.sycamoretrack.core.request.batch.OpenBatch;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;

/**
 * Tests of the rows of submissions, and of reading partial texts and failures: rows that an earlier
 * owner left behind must neither stop a takeover nor end up in the text of an item.
 */
class BatchRowCodecTest {
  private static final int LONG_TEXT = 200_000;

  private static List<Row> rows(int index, String data) {
    ItemText text = new ItemText(data, 1, List.of(3));
    List<Row> rows = new ArrayList<>();
    for (BatchRowCodec.Slice slice : BatchRowCodec.textRows(index, text)) {
      rows.add(new Row(BatchRowCodec.BATCH_TABLE, "batch", slice.key(), slice.bytes(), 1));
    }
    return rows;
  }

  @Test
  void readsSavedTexts() {
    List<Row> rows = rows(0, "x".repeat(LONG_TEXT));
    rows.addAll(rows(1, "short"));

    Map<Integer, ItemText> texts = BatchRowCodec.readTexts(rows);

    assertThat(texts.get(0).data()).hasSize(LONG_TEXT);
    assertThat(texts.get(1).data()).isEqualTo("short");
    assertThat(texts.get(1).versions()).containsExactly(3);
  }

  /**
   * A text that was restarted and is shorter than before overwrites only the first rows of the
   * longer one; the remaining rows must not be joined to it.
   */
  @Test
  void skipsTextMixedWithRowsOfAnEarlierOne() {
    List<Row> longer = rows(0, "x".repeat(LONG_TEXT));
    List<Row> rows = rows(0, "anew");
    rows.addAll(longer.subList(1, longer.size()));
    rows.addAll(rows(1, "other"));

    assertThat(BatchRowCodec.readTexts(rows)).containsOnlyKeys(1);
  }

  private static BatchSubmission submission(int bodyBytes) {
    BatchItem item =
        BatchItem.builder(0, "item-0", "/x").body(new byte[bodyBytes]).model("m").build();
    return new BatchSubmission(
        "b",
        "h",
        "s",
        1,
        0,
        new BatchSubmission.RouteSettings(3, false, 40_000, 7_500),
        5,
        List.of(item));
  }

  private static List<PartitionWrite> writes(BatchSubmission batch) {
    return BatchRowCodec.submissionWrites(batch).stream()
        .map(PartitionWrite.Builder::build)
        .toList();
  }

  private static List<Row> stored(BatchSubmission batch) {
    return writes(batch).stream()
        .flatMap(write -> write.puts().stream())
        .map(put -> new Row(put.table(), "b", put.key(), put.value(), 1))
        .toList();
  }

  private static Row head(List<Row> rows) {
    return rows.stream()
        .filter(row -> row.key().equals(BatchRowCodec.HEAD_KEY))
        .findFirst()
        .orElseThrow();
  }

  /** Guards against a batch that a node takes over without its customer or its priority. */
  @ParameterizedTest
  @CsvSource({"a, 0", "a, 3", "'', 0", "'', 3"})
  void submissionIsReadWithItsCustomerAndPriority(String customer, int priority) {
    List<Row> rows = stored(submission(2).submittedBy(customer, priority));

    BatchSubmission read = BatchRowCodec.readSubmission("b", rows);

    assertThat(read.customer()).isEqualTo(customer);
    assertThat(read.priority()).isEqualTo(priority);
    assertThat(read.items()).hasSize(1);
    assertThat(BatchRowCodec.readHead(head(rows)).customer()).isEqualTo(customer);
  }

  /** A head as it was written before batches had customers; the item rows are unchanged. */
  @Test
  void rowWrittenWithoutACustomerIsReadable() {
    List<Row> rows = new ArrayList<>(stored(submission(2)));
    Row written = head(rows);
    String name = BatchRowCodec.readHead(written).itemsName();
    String json =
        "{\"items\":1,\"name\":\""
            + name
            + "\",\"host\":\"h\",\"service\":\"s\",\"minVersion\":1,\"targetGroups\":0,"
            + "\"attempts\":3,\"singleVersion\":false,\"maxQueueMs\":40000,\"dueMs\":7500,"
            + "\"acceptedAtMs\":5}";
    assertThat(new String(written.value(), StandardCharsets.UTF_8))
        .as("a batch without a customer is written as before")
        .isEqualTo(json);

    BatchSubmission read = BatchRowCodec.readSubmission("b", rows);

    assertThat(read.customer()).isEmpty();
    assertThat(read.priority()).isZero();
  }

  /** Guards against rows that one customer leaves in the partition of another customer's batch. */
  @Test
  void noWriteOfASubmissionTakesEffectIfTheBatchExists() {
    List<PartitionWrite> writes = writes(submission(1_200_000));

    assertThat(writes).hasSizeGreaterThan(1);
    assertThat(writes)
        .allSatisfy(
            write ->
                assertThat(write.conditions())
                    .containsExactly(
                        new PartitionWrite.Condition(
                            BatchRowCodec.BATCH_TABLE,
                            BatchRowCodec.HEAD_KEY,
                            PartitionWrite.ABSENT)));
  }

  private static List<ItemProgress> items(int count) {
    List<BatchItem> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      items.add(BatchItem.builder(i, "item-" + i, "/x").model("m").group("g").build());
    }
    BatchSubmission submission =
        new BatchSubmission(
            "b", "h", "s", 1, 0, new BatchSubmission.RouteSettings(3, false, 0, 0), 0, items);
    return new OpenBatch(submission, List.of()).items();
  }

  private static Row failureRow(ItemProgress item) {
    BatchRowCodec.Slice slice = BatchRowCodec.failureRow(item);
    return new Row(BatchRowCodec.BATCH_TABLE, "b", slice.key(), slice.bytes(), 1);
  }

  @ParameterizedTest
  @CsvSource({"0, false, false", "1, false, false", "3, false, true", "0, true, true"})
  void restoresFailures(int failures, boolean impossible, boolean failed) {
    ItemProgress saved = items(2).get(1);
    for (int i = 0; i < failures; i++) {
      saved.onEnded(true, false, 0);
    }
    if (impossible) {
      saved.onImpossible();
    }
    List<ItemProgress> restored = items(2);

    BatchRowCodec.restoreFailures(List.of(failureRow(saved)), restored);

    assertThat(restored.get(1).failures()).isEqualTo(failures);
    assertThat(restored.get(1).isImpossible()).isEqualTo(impossible);
    assertThat(restored.get(1).hasFailed(3)).isEqualTo(failed);
    assertThat(restored.get(0).failures()).isZero();
  }

  @ParameterizedTest
  @CsvSource({"failures.00000, no json", "failures.00009, {}", "failures.x, {}", "failures., {}"})
  void skipsMalformedFailures(String key, String value) {
    List<ItemProgress> restored = items(2);
    ItemProgress saved = items(2).get(1);
    saved.onEnded(true, false, 0);
    Row malformed =
        new Row(BatchRowCodec.BATCH_TABLE, "b", key, value.getBytes(StandardCharsets.UTF_8), 1);

    BatchRowCodec.restoreFailures(List.of(malformed, failureRow(saved)), restored);

    assertThat(restored).extracting(ItemProgress::failures).containsExactly(0, 1);
  }
}
