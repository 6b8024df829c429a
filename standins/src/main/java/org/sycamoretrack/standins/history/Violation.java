package org.sycamoretrack.standins.history;

import java.util.List;

/**
 * A broken promise.
 *
 * @param invariant the promise
 * @param message what is wrong, one line
 * @param evidence the records that show it
 */
public record Violation(Invariant invariant, String message, List<HistoryRecord> evidence) {
  /** Copies the evidence. */
  public Violation {
    evidence = List.copyOf(evidence);
  }
}
