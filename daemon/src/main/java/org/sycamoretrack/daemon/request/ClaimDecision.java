package org.sycamoretrack.daemon.request;

import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.request.RecordedAnswer;

/** What a node does with a keyed call. */
public sealed interface ClaimDecision {
  /**
   * The claim is in the table and this is the one who may run the call, once. Afterwards it calls
   * one of {@link ClaimService#settle}, {@link ClaimService#release} and {@link
   * ClaimService#leaveUnsettled}.
   */
  record Run() implements ClaimDecision {}

  /**
   * The call ran before: give its answer again. When {@link RecordedAnswer#isBodyKept} is false the
   * call ran, but its answer was too long to be kept.
   *
   * @param answer the answer
   */
  record Answered(RecordedAnswer answer) implements ClaimDecision {}

  /** The key was claimed before and the outcome is not recorded: {@code claim-unsettled}. */
  record Unsettled() implements ClaimDecision {}

  /** The key was used with another request. */
  record KeyReused() implements ClaimDecision {}

  /**
   * The claim was not made: the call did not run, and may be sent again.
   *
   * @param code {@code LEASE_LOST} when this node does not own the key, {@code
   *     PLATFORM_UNAVAILABLE} when the table service does not answer, {@code OVERLOADED} when too
   *     many keys are remembered or wait
   */
  record Refused(ErrorCode code) implements ClaimDecision {}
}
