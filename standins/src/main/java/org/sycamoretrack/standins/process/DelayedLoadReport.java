package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Returns outdated load reports. Each request records the current load and gets the most recent
 * record that is at least {@code lagMs} old, or the oldest record kept if none is that old.
 * Confined to one event loop.
 */
final class DelayedLoadReport {
  private static final int MAX_REPORTS = 1_000;

  private final int lagMs;
  private final Deque<ObjectNode> reports = new ArrayDeque<>();

  DelayedLoadReport(int lagMs) {
    this.lagMs = lagMs;
  }

  /** Records the current load and returns the response to {@code GET /load}. */
  HttpResponse report(ObjectNode current) {
    reports.addLast(current);
    long nowMs = current.path("asOfMs").asLong();
    ObjectNode visible = reports.removeFirst();
    while (!reports.isEmpty()
        && (reports.peekFirst().path("asOfMs").asLong() <= nowMs - lagMs
            || reports.size() > MAX_REPORTS)) {
      visible = reports.removeFirst();
    }
    reports.addFirst(visible);
    return HttpResponse.json(200, visible);
  }
}
