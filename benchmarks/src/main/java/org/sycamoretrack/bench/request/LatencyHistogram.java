package org.sycamoretrack.bench.request;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/** A histogram of request durations. */
public final class LatencyHistogram {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double US_PER_MS = 1_000;

  private final Histogram histogramUs = new Histogram(SIGNIFICANT_DIGITS);

  /**
   * Adds a duration.
   *
   * @param durationMs the duration
   */
  public void add(double durationMs) {
    histogramUs.recordValue((long) (durationMs * US_PER_MS));
  }

  /** Returns how many durations were added. */
  public long count() {
    return histogramUs.getTotalCount();
  }

  /**
   * Returns a percentile.
   *
   * @param percentile from 0 to 100
   * @return milliseconds
   */
  public double percentileMs(double percentile) {
    return histogramUs.getValueAtPercentile(percentile) / US_PER_MS;
  }

  /**
   * Returns a percentile formatted as whole milliseconds.
   *
   * @param percentile from 0 to 100
   */
  public String formatPercentile(double percentile) {
    return String.format(Locale.ROOT, "%.0f", percentileMs(percentile));
  }
}
