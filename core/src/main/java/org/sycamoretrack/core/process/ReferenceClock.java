package org.sycamoretrack.core.process;

import java.util.Arrays;

/**
 * Estimates the true time from the time of a reference, such as the store, without relying on the
 * host's wall clock, which may be wrong by seconds. It answers a load in which a part of the hosts
 * has a wall clock that is set ahead or back for some seconds.
 *
 * <p>Each response of the reference that contains its time bounds the difference between the true
 * time and the monotonic clock: the time was read after the request was sent and before the
 * response was received. The bounds of several responses are intersected, and widened by {@value
 * #DRIFT_PER_MILLION} ppm for the drift of the monotonic clock. A response that contradicts the
 * bounds replaces them, as after a suspension of the host, in which the monotonic clock stops.
 *
 * <p>Until a reference has responded, the median of the last {@value #HOST_SAMPLES} differences
 * between the host's wall clock and the monotonic clock is used, so that a wall clock that is wrong
 * for less than half of that time has no effect.
 *
 * <p>Example: a request is sent at 1,000 and its response, with the time 500,000, is received at
 * 1,010. The difference lies between 498,990 and 499,000, so at 2,000 the time is estimated as
 * 500,995.
 */
public final class ReferenceClock {
  /**
   * Earlier times are no times since the Unix epoch, as when a reference counts from its start:
   * 2020-01-01.
   */
  private static final long MIN_REFERENCE_MS = 1_577_836_800_000L;

  /** Oscillators of hosts drift by less than 100 ppm; this is twice as much. */
  private static final int DRIFT_PER_MILLION = 200;

  private static final int HOST_SAMPLES = 61;
  private static final double MILLION = 1_000_000;

  private final long[] hostOffsetsMs = new long[HOST_SAMPLES];
  private int hostSamples;
  private boolean referenceKnown;
  private double lowestOffsetMs;
  private double highestOffsetMs;
  private long boundsAtMs;

  /** Creates a clock that knows neither a reference nor the wall clock. */
  public ReferenceClock() {}

  /**
   * Handles a response of the reference. Times that aren't times since the Unix epoch are ignored.
   *
   * @param referenceMs the time that it contains, in milliseconds since the Unix epoch
   * @param sentMs the monotonic time in milliseconds when the request was sent
   * @param receivedMs the monotonic time in milliseconds when the response was received
   */
  public void onReference(long referenceMs, long sentMs, long receivedMs) {
    if (referenceMs < MIN_REFERENCE_MS) {
      return;
    }
    double lowest = referenceMs - receivedMs;
    // The reference truncates its time to milliseconds, and the sending time is truncated as well.
    double highest = referenceMs - sentMs + 1.0;
    if (referenceKnown) {
      double driftMs = Math.max(0, receivedMs - boundsAtMs) * DRIFT_PER_MILLION / MILLION;
      double intersectedLowest = Math.max(lowest, lowestOffsetMs - driftMs);
      double intersectedHighest = Math.min(highest, highestOffsetMs + driftMs);
      if (intersectedLowest <= intersectedHighest) {
        lowest = intersectedLowest;
        highest = intersectedHighest;
      }
    }
    lowestOffsetMs = lowest;
    highestOffsetMs = highest;
    boundsAtMs = receivedMs;
    referenceKnown = true;
  }

  /**
   * Handles a reading of the host's wall clock. Called once a second.
   *
   * @param wallClockMs the wall clock in milliseconds since the Unix epoch
   * @param nowMs the monotonic time in milliseconds
   */
  public void onWallClock(long wallClockMs, long nowMs) {
    hostOffsetsMs[hostSamples % HOST_SAMPLES] = wallClockMs - nowMs;
    hostSamples++;
  }

  /** Returns whether the estimate is based on a reference, rather than on the host's wall clock. */
  public boolean isReferenceKnown() {
    return referenceKnown;
  }

  /**
   * Returns the estimated true time in milliseconds since the Unix epoch.
   *
   * @param nowMs the monotonic time in milliseconds
   * @throws IllegalStateException when neither a reference nor the wall clock was read
   */
  public long timeMs(long nowMs) {
    return nowMs + offsetMs();
  }

  private long offsetMs() {
    if (referenceKnown) {
      return Math.round((lowestOffsetMs + highestOffsetMs) / 2);
    }
    if (hostSamples == 0) {
      throw new IllegalStateException("no clock was read yet");
    }
    long[] sorted = Arrays.copyOf(hostOffsetsMs, Math.min(hostSamples, HOST_SAMPLES));
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }
}
