package org.sycamoretrack.daemon.request.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.core.request.batch.ItemText;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;

/**
 * Tests of reading partial texts: rows that an earlier owner left behind must neither stop a
 * takeover nor end up in the text of an item.
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
}
