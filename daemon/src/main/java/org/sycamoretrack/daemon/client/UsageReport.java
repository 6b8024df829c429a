package org.sycamoretrack.daemon.client;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The requests that endpoints began to execute in one window, by customer.
 *
 * @param window the window; window k begins k window lengths after the Unix epoch
 * @param counts the number of requests by customer, in the order of their names, so that equal
 *     reports are encoded equally
 */
public record UsageReport(long window, SortedMap<String, Long> counts) {
  /** Copies the counts. */
  public UsageReport {
    counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
  }

  /**
   * Creates a report from counts in any order.
   *
   * @param window the window
   * @param counts the number of requests by customer
   */
  public static UsageReport of(long window, Map<String, Long> counts) {
    return new UsageReport(window, new TreeMap<>(counts));
  }
}
