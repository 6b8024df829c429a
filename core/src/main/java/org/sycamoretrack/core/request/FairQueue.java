package org.sycamoretrack.core.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * A queue that shares service fairly between flows, using start-time fair queueing over token
 * costs.
 *
 * <p>Each flow has a start tag: the cost of the service that it has received so far, divided by its
 * weight ({@link QueueFlow#weight}). The flow with the smallest tag is served next, and its tag
 * grows by {@code cost / weight}. A flow that becomes active starts at the virtual time, which is
 * the tag of the flow served last, so that it accumulates no credit while idle. Within a flow,
 * entries are served by rank, then in order of arrival.
 *
 * <p>Example: flows a and b with weights 1 and 2 queue entries of cost 10 each. Tags start at 0; a
 * is served once (a=10), b is served twice (b=5, then 10), and so on: b is served two entries for
 * each entry of a.
 */
final class FairQueue<T> {
  /** Idle flows are removed only above this number of flows. */
  private static final int PRUNE_ABOVE_FLOWS = 64;

  private final Map<String, FlowState<T>> flows = new HashMap<>();
  private final TreeSet<FlowState<T>> active =
      new TreeSet<>(
          Comparator.<FlowState<T>>comparingDouble(flow -> flow.startTag)
              .thenComparing(flow -> flow.key));
  private double virtualTime;
  private int size;
  private long queuedTokens;

  void add(QueuedRequest<T> entry) {
    FlowState<T> flow = flows.get(entry.flow.key());
    if (flow == null) {
      pruneIdleFlows();
      flow = new FlowState<>(entry.flow.key());
      flows.put(flow.key, flow);
    }
    if (flow.entries.isEmpty()) {
      flow.startTag = Math.max(flow.startTag, virtualTime);
      active.add(flow);
    }
    flow.entries.add(entry);
    size++;
    queuedTokens += entry.costTokens;
  }

  /** Returns the entry to be served next, or null if the queue is empty. */
  QueuedRequest<T> peek() {
    return active.isEmpty() ? null : active.first().entries.first();
  }

  /**
   * Removes the entry to be served next and adds its cost to its flow. Returns null if the queue is
   * empty.
   */
  QueuedRequest<T> poll() {
    QueuedRequest<T> entry = peek();
    if (entry == null) {
      return null;
    }
    FlowState<T> flow = active.pollFirst();
    virtualTime = flow.startTag;
    flow.startTag += entry.costTokens / entry.flow.weight();
    flow.entries.remove(entry);
    if (!flow.entries.isEmpty()) {
      active.add(flow);
    }
    subtractFromTotals(entry);
    return entry;
  }

  /** Removes an entry without adding its cost to its flow. */
  void remove(QueuedRequest<T> entry) {
    FlowState<T> flow = flows.get(entry.flow.key());
    if (flow == null || !flow.entries.remove(entry)) {
      return;
    }
    if (flow.entries.isEmpty()) {
      active.remove(flow);
    }
    subtractFromTotals(entry);
  }

  int size() {
    return size;
  }

  int size(String flowKey) {
    FlowState<T> flow = flows.get(flowKey);
    return flow == null ? 0 : flow.entries.size();
  }

  long queuedTokens() {
    return queuedTokens;
  }

  private void subtractFromTotals(QueuedRequest<T> entry) {
    size--;
    queuedTokens -= entry.costTokens;
  }

  private void pruneIdleFlows() {
    if (flows.size() > Math.max(PRUNE_ABOVE_FLOWS, 2 * active.size())) {
      flows.values().removeIf(flow -> flow.entries.isEmpty() && flow.startTag <= virtualTime);
    }
  }

  private static final class FlowState<T> {
    final String key;
    final TreeSet<QueuedRequest<T>> entries =
        new TreeSet<>(
            Comparator.<QueuedRequest<T>>comparingInt(entry -> entry.rank)
                .thenComparingLong(entry -> entry.sequence));
    double startTag;

    FlowState(String key) {
      this.key = key;
    }
  }
}
