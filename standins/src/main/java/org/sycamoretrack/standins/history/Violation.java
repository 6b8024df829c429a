package org.sycamoretrack.standins.history;

import java.util.List;

/**
 * A broken promise.
 *
 * @param promise the promise
 * @param message what is wrong, one line
 * @param evidence the records that show it
 */
public record Violation(Promise promise, String message, List<HistoryRecord> evidence) {
  /** Copies the evidence. */
  public Violation {
    evidence = List.copyOf(evidence);
  }
}
