package org.sycamoretrack.core.request.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of {@link OpenBatch} and {@link LongestFirstOrder}. */
class OpenBatchTest {
  private static OpenBatch batch(List<String> listed, int... hints) {
    List<BatchItem> items = new ArrayList<>();
    for (int hint : hints) {
      int index = items.size();
      String group = "g" + index / 2;
      items.add(
          BatchItem.builder(index, "i" + index, "/p")
              .model("m")
              .group(group)
              .lengthHint(hint)
              .build());
    }
    BatchSubmission submission =
        new BatchSubmission(
            "b", "h", "s", 1, 0, new BatchSubmission.RouteSettings(3, false, 0, 0), 0, items);
    return new OpenBatch(submission, listed);
  }

  private static ItemResult result(OpenBatch batch, int index) {
    return new ItemResult(batch.items().get(index).item().id(), true, "text", List.of(1), "");
  }

  private static List<String> ids(List<ItemResult> results) {
    return results.stream().map(ItemResult::itemId).toList();
  }

  @Test
  void givesPositionsOnceAndInTheOrderOfTheirCommits() {
    OpenBatch batch = batch(List.of(), 10, 10, 10);
    batch.finish(batch.items().get(2), result(batch, 2));
    batch.finish(batch.items().get(2), result(batch, 2));

    assertThat(ids(batch.beginCommit(10, 100, any -> 1))).containsExactly("i2");
    batch.finish(batch.items().get(0), result(batch, 0));
    assertThat(batch.beginCommit(10, 100, any -> 1)).as("one commit at a time").isEmpty();
    assertThat(batch.listed()).as("listed before the commit is known").isZero();

    batch.onCommitted();
    assertThat(batch.listed()).isEqualTo(1);
    assertThat(ids(batch.beginCommit(10, 100, any -> 1))).containsExactly("i0");
    batch.onCommitted();
    assertThat(batch.isComplete()).isFalse();
  }

  @Test
  void limitsTheSizeOfACommit() {
    OpenBatch batch = batch(List.of(), 10, 10, 10);
    for (int i = 0; i < 3; i++) {
      batch.finish(batch.items().get(i), result(batch, i));
    }

    assertThat(batch.beginCommit(10, 5, any -> 6)).as("one large result goes alone").hasSize(1);
    batch.onCommitted();
    assertThat(batch.beginCommit(1, 100, any -> 6)).hasSize(1);
  }

  @Test
  void listedItemIsNotRunAgain() {
    OpenBatch batch = batch(List.of("i1"), 10, 10, 10);

    assertThat(batch.listed()).isEqualTo(1);
    assertThat(new LongestFirstOrder(1).waiting(batch, 0))
        .extracting(item -> item.item().id())
        .containsExactly("i0", "i2");
  }

  @Test
  void ordersByRemainingTokensDescending() {
    OpenBatch batch = batch(List.of(), 10, 40, 30, 30);
    batch.items().get(1).text().append(1, "a", 1);

    assertThat(new LongestFirstOrder(15).waiting(batch, 0))
        .extracting(item -> item.item().id())
        .containsExactly("i2", "i3", "i1", "i0");
  }

  @Test
  void itemWaitsAfterAnInterruptedRun() {
    OpenBatch batch = batch(List.of(), 10);
    ItemProgress item = batch.items().get(0);
    item.onStarted();
    item.onEnded(false, false, 50);

    assertThat(new LongestFirstOrder(1).waiting(batch, 49)).isEmpty();
    assertThat(new LongestFirstOrder(1).waiting(batch, 50)).hasSize(1);
    assertThat(item.interruptions()).isEqualTo(1);
  }
}
