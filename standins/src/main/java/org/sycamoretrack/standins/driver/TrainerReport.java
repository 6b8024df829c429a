package org.sycamoretrack.standins.driver;

/**
 * Counters of a trainer, from the samples that it received.
 *
 * @param stepsCompleted steps for which all samples arrived
 * @param samplesExpected samples requested
 * @param samplesDelivered distinct samples that arrived
 * @param duplicates samples that arrived again for a slot that had one
 * @param missing samples that did not arrive
 * @param stale samples with a span older than the version lag allows
 * @param wrongVersion samples with an unknown slot or whose spans do not cover all tokens, and
 *     versions named by samples that were never published
 * @param wrongScore samples whose score differs from that of the track's scorer
 * @param idleMs time that the trainer spent waiting for samples
 */
public record TrainerReport(
    int stepsCompleted,
    int samplesExpected,
    int samplesDelivered,
    int duplicates,
    int missing,
    int stale,
    int wrongVersion,
    int wrongScore,
    long idleMs) {
  /** All counters zero. */
  static final TrainerReport ZERO = new TrainerReport(0, 0, 0, 0, 0, 0, 0, 0, 0);

  /**
   * Adds the counters of another report.
   *
   * @param other the other report
   * @return the sums
   */
  public TrainerReport plus(TrainerReport other) {
    return new TrainerReport(
        stepsCompleted + other.stepsCompleted,
        samplesExpected + other.samplesExpected,
        samplesDelivered + other.samplesDelivered,
        duplicates + other.duplicates,
        missing + other.missing,
        stale + other.stale,
        wrongVersion + other.wrongVersion,
        wrongScore + other.wrongScore,
        idleMs + other.idleMs);
  }
}
