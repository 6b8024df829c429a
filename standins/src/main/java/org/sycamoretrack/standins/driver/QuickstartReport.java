package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * Combined counters of the trainers and callers of a run.
 *
 * @param stepsCompleted steps for which all samples arrived
 * @param samplesExpected samples requested
 * @param samplesDelivered distinct samples that arrived
 * @param duplicates samples that arrived again
 * @param missing samples that did not arrive
 * @param stale samples older than the version lag allows
 * @param wrongVersion samples that name versions other than those that produced them
 * @param interactiveRequests calls made by the callers
 * @param interactiveFailed calls that failed or stayed unsettled
 * @param elapsedMs time from the start of the trainers to the last response
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
  /** Combines the reports of trainers and callers. */
  static QuickstartReport of(
      List<TrainerReport> trainerReports,
      List<CallerReport> callerReports,
      int wrongVersions,
      long elapsedMs) {
    TrainerReport sum = trainerReports.stream().reduce(TrainerReport.ZERO, TrainerReport::plus);
    return new QuickstartReport(
        sum.stepsCompleted(),
        sum.samplesExpected(),
        sum.samplesDelivered(),
        sum.duplicates(),
        sum.missing(),
        sum.stale(),
        sum.wrongVersion() + wrongVersions,
        callerReports.stream().mapToInt(CallerReport::requests).sum(),
        callerReports.stream().mapToInt(report -> report.failed() + report.unsettled()).sum(),
        elapsedMs);
  }

  /** Returns whether all samples arrived exactly once and no error was counted. */
  @JsonIgnore
  public boolean isClean() {
    int errors = duplicates + missing + stale + wrongVersion + interactiveFailed;
    return errors == 0 && samplesDelivered == samplesExpected && interactiveRequests > 0;
  }
}
