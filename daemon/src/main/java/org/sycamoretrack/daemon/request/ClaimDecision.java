package org.sycamoretrack.daemon.request;

import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.request.RecordedResponse;

/** The decision on a claim: what to do with a call that has an idempotency key. */
public sealed interface ClaimDecision {
  /**
   * The claim is in the table, and the receiver may run the call once. Afterwards it must call one
   * of {@link ClaimService#recordResponse}, {@link ClaimService#release} and {@link
   * ClaimService#markUnsettled}.
   */
  record Run() implements ClaimDecision {}

  /**
   * The call already ran: its recorded response is returned. When {@link
   * RecordedResponse#isBodyKept} is false, the body was too long to be kept.
   *
   * @param response the recorded response
   */
  record Answered(RecordedResponse response) implements ClaimDecision {}

  /** The key was claimed before and no outcome is recorded. Reported as {@code claim-unsettled}. */
  record Unsettled() implements ClaimDecision {}

  /** The key was already used with a different request. */
  record KeyReused() implements ClaimDecision {}

  /**
   * The claim was not made: the call did not run and may be retried.
   *
   * @param code {@code LEASE_LOST} when this node does not own the key, {@code
   *     PLATFORM_UNAVAILABLE} when the table service does not respond, {@code OVERLOADED} when too
   *     many keys are stored or too many callers wait
   */
  record Refused(ErrorCode code) implements ClaimDecision {}
}
