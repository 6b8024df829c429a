package org.sycamoretrack.core.request.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.core.request.batch.BatchSubmission.RouteSettings;
import org.sycamoretrack.core.version.capacity.BatchWork;
import org.sycamoretrack.core.version.capacity.ServiceDemand;

/** Tests of {@link DemandMeter}. */
class DemandMeterTest {
  private static final long EPOCH_MS = 1_000_000;

  private final DemandMeter meter = new DemandMeter(50);

  private static OpenBatch batch(String id, String model, int items, long acceptedAtMs) {
    List<BatchItem> list = new ArrayList<>();
    for (int i = 0; i < items; i++) {
      list.add(BatchItem.builder(i, id + i, "/x").model(model).lengthHint(1_000).build());
    }
    return new OpenBatch(
        new BatchSubmission(
            id, "h", "s", 1, 0, new RouteSettings(1, false, 0, 7_500), acceptedAtMs, list),
        List.of());
  }

  private ServiceDemand measure(long nowMs, OpenBatch... batches) {
    return meter
        .measure(List.of(batches), nowMs, EPOCH_MS + nowMs)
        .getOrDefault("s", ServiceDemand.NONE);
  }

  /** Guards against outstanding work, deadlines or rates that aren't those of the batch. */
  @Test
  void measuresOutstandingTokensDeadlineAndRate() {
    OpenBatch batch = batch("b", "m", 10, EPOCH_MS);
    assertThat(measure(500, batch).work()).containsExactly(new BatchWork(10_000, 7_000));

    for (ItemProgress item : batch.items().subList(0, 4)) {
      item.onStarted();
      for (int event = 1; event <= 8; event++) {
        item.text().append(event, "x", 1);
      }
    }
    ServiceDemand demand = measure(1_500, batch);

    assertThat(demand.work()).containsExactly(new BatchWork(6_000 + 4 * 600, 6_000));
    assertThat(demand.slots()).isEqualTo(4);
    assertThat(demand.tokensPerSlotSecond()).isEqualTo(400);
  }

  /** Guards against demand that vanishes between two steps or counts a takeover as a submission. */
  @Test
  void demandOfModelsIsThatOfTheLastSteps() {
    assertThat(measure(0, batch("b", "m", 10, EPOCH_MS)).modelTokensPerSecond())
        .isEqualTo(Map.of("m", 500.0));
    assertThat(measure(5_000, batch("c", "n", 20, EPOCH_MS + 4_500)).modelTokensPerSecond())
        .isEqualTo(Map.of("m", 500.0, "n", 1_000.0));
    assertThat(measure(6_000, batch("old", "m", 10, EPOCH_MS)).modelTokensPerSecond())
        .isEqualTo(Map.of("m", 500.0, "n", 1_000.0));
    assertThat(measure(20_001).modelTokensPerSecond()).isEqualTo(Map.of("n", 1_000.0));
    assertThat(measure(25_001).isEmpty()).isTrue();
  }
}
