package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import org.sycamoretrack.transport.request.HttpAnswer;

/**
 * Load reports that come late: each question is answered with the load as it was at an earlier
 * question, at least the lag ago where there was one. Confined to one event loop.
 */
final class DelayedLoadReport {
  private static final int MAX_REPORTS = 1_000;

  private final int lagMs;
  private final Deque<ObjectNode> reports = new ArrayDeque<>();

  DelayedLoadReport(int lagMs) {
    this.lagMs = lagMs;
  }

  /** Records the load as it is and returns the answer to {@code GET /load}. */
  HttpAnswer report(ObjectNode now) {
    reports.addLast(now);
    long nowMs = now.path("asOfMs").asLong();
    ObjectNode shown = reports.removeFirst();
    while (!reports.isEmpty()
        && (reports.peekFirst().path("asOfMs").asLong() <= nowMs - lagMs
            || reports.size() > MAX_REPORTS)) {
      shown = reports.removeFirst();
    }
    reports.addFirst(shown);
    return HttpAnswer.json(200, shown);
  }
}
