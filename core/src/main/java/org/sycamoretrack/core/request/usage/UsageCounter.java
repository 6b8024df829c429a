package org.sycamoretrack.core.request.usage;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counts the requests that endpoints began to execute, by window and customer.
 *
 * <p>It answers a load of some hundred plain requests a second on a node: a request costs one
 * update of a map, and the counts of the windows that have changed are copied only when they are
 * taken, some times a second.
 *
 * <p>A request is counted when it is sent. It is removed again when the endpoint refuses it, which
 * may be after the counts of its window were taken; the window has then changed once more.
 *
 * <p>Not thread-safe.
 */
public final class UsageCounter {
  private final UsageWindows windows;
  private final TreeMap<Long, Map<String, Long>> counts = new TreeMap<>();
  private final Set<Long> changed = new HashSet<>();

  /**
   * Creates a counter without requests.
   *
   * @param windows the windows
   */
  public UsageCounter(UsageWindows windows) {
    this.windows = windows;
  }

  /**
   * Adds requests.
   *
   * @param customer the customer
   * @param timeMs when they were sent, in milliseconds since the Unix epoch
   * @param requests the number of requests, negative to remove requests that were added before
   */
  void add(String customer, long timeMs, int requests) {
    long window = windows.at(timeMs);
    Map<String, Long> ofWindow = counts.computeIfAbsent(window, any -> new HashMap<>());
    long sum = ofWindow.getOrDefault(customer, 0L) + requests;
    if (sum > 0) {
      ofWindow.put(customer, sum);
    } else {
      ofWindow.remove(customer);
    }
    changed.add(window);
  }

  /**
   * Returns the complete counts of the windows that have changed since the last call, and forgets
   * old windows.
   *
   * @param oldestWindow the first window that is kept; a change of an earlier one is ignored
   * @return the counts by window and customer, immutable; a window may have no counts
   */
  public SortedMap<Long, Map<String, Long>> takeChanges(long oldestWindow) {
    counts.headMap(oldestWindow).clear();
    SortedMap<Long, Map<String, Long>> changes = new TreeMap<>();
    for (long window : changed) {
      if (window >= oldestWindow) {
        changes.put(window, Map.copyOf(counts.get(window)));
      }
    }
    changed.clear();
    return Collections.unmodifiableSortedMap(changes);
  }
}
