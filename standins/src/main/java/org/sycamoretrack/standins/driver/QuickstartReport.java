package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * What the stand-in trainers and callers counted in a run.
 *
 * @param stepsCompleted steps of which every sample arrived
 * @param samplesExpected samples asked for
 * @param samplesDelivered different samples that arrived
 * @param duplicates samples that arrived more than once
 * @param missing samples that did not arrive
 * @param stale samples older than the bound
 * @param wrongVersion samples that name other versions than those that produced them
 * @param interactiveRequests calls of the callers
 * @param interactiveFailed calls without the whole answer
 * @param elapsedMs time from the first step's opening to the last answer
 */
public record QuickstartReport(
    int stepsCompleted,
    int samplesExpected,
    int samplesDelivered,
    int duplicates,
    int missing,
    int stale,
    int wrongVersion,
    int interactiveRequests,
    int interactiveFailed,
    long elapsedMs) {
  /** Sums up what trainers and callers counted. */
  static QuickstartReport of(
      List<TrainerReport> trainers, List<CallerReport> callers, int untrue, long elapsedMs) {
    TrainerReport sum = trainers.stream().reduce(TrainerReport.ZERO, TrainerReport::plus);
    return new QuickstartReport(
        sum.stepsCompleted(),
        sum.samplesExpected(),
        sum.samplesDelivered(),
        sum.duplicates(),
        sum.missing(),
        sum.stale(),
        sum.wrongVersion() + untrue,
        callers.stream().mapToInt(CallerReport::requests).sum(),
        callers.stream().mapToInt(call -> call.failed() + call.unsettled()).sum(),
        elapsedMs);
  }

  /** Returns whether everything arrived as it should. */
  @JsonIgnore
  public boolean isClean() {
    int faults = duplicates + missing + stale + wrongVersion + interactiveFailed;
    return faults == 0 && samplesDelivered == samplesExpected && interactiveRequests > 0;
  }
}
