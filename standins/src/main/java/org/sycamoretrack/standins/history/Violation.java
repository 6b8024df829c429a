package org.sycamoretrack.standins.history;

import java.util.List;

/**
 * A violation of an invariant.
 *
 * @param invariant the violated invariant
 * @param message one-line description
 * @param evidence the records that prove the violation
 */
public record Violation(Invariant invariant, String message, List<HistoryRecord> evidence) {
  /** Makes a defensive copy of the evidence. */
  public Violation {
    evidence = List.copyOf(evidence);
  }
}
