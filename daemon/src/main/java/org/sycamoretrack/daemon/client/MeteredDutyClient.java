package org.sycamoretrack.daemon.client;

import java.util.concurrent.CompletionStage;
import org.sycamoretrack.daemon.process.DutyMetrics;
import org.sycamoretrack.daemon.version.duty.Duty;

/** Decorates a {@link DutyClient} with metrics: counts calls by duty and outcome. */
public final class MeteredDutyClient implements DutyClient {
  private final DutyClient client;
  private final DutyMetrics metrics;

  /**
   * Creates the decorator.
   *
   * @param client executes the calls
   * @param metrics receives the outcomes
   */
  public MeteredDutyClient(DutyClient client, DutyMetrics metrics) {
    this.client = client;
    this.metrics = metrics;
  }

  private CompletionStage<DutyOutcome> count(Duty duty, CompletionStage<DutyOutcome> call) {
    return call.whenComplete(
        (outcome, failure) ->
            metrics.onCall(duty.id(), failure == null ? outcome.label() : "unknown"));
  }

  @Override
  public CompletionStage<DutyOutcome> reportUsage(DutyGrant grant, UsageReport report) {
    return count(Duty.USAGE, client.reportUsage(grant, report));
  }

  @Override
  public CompletionStage<DutyOutcome> orderCapacity(DutyGrant grant, CapacityOrder order) {
    return count(Duty.CAPACITY, client.orderCapacity(grant, order));
  }
}
