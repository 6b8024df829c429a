package org.sycamoretrack.standins.driver;

/**
 * What a trainer counted, from what it received.
 *
 * @param stepsCompleted steps of which every sample arrived
 * @param samplesExpected samples asked for
 * @param samplesDelivered different samples that arrived
 * @param duplicates samples that arrived although the poll said that the trainer had them
 * @param missing samples that did not arrive
 * @param stale samples with a span older than the bound
 * @param wrongVersion samples that name a version that was never published, or not every token
 * @param wrongScore samples without the score that the track's scorer gives
 * @param idleMs time in which the trainer waited for samples
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
  /** Counts nothing. */
  static final TrainerReport ZERO = new TrainerReport(0, 0, 0, 0, 0, 0, 0, 0, 0);

  /**
   * Adds another report.
   *
   * @param other the other
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
