package org.sycamoretrack.core.connection;

import java.util.Collection;

/**
 * Latency and failure statistics of one endpoint, and its outlier ejection.
 *
 * <p>Averages are exponentially weighted. The time per token also takes silence into account: while
 * requests run and nothing has arrived for longer than the average time between two chunks of an
 * response (before the first chunk, the average time to it), the estimate grows in proportion, so
 * that a stalled endpoint is detected before its responses are late.
 *
 * <p>An endpoint is ejected after {@value #FAILURES_TO_EJECT} consecutive failures, or when its
 * time per token exceeds {@value #SLOW_FACTOR} times the median of the pool (see {@link #update}).
 * Requests still running on an ejected endpoint end the ejection as soon as they are fast again.
 * Without any, a probe is due after the ejection time: a fast probe ends the ejection, any other
 * one doubles the ejection time, up to {@value #MAX_EJECTION_MS} ms.
 *
 * <p>Example with a median of 20 ms: an endpoint with 70 ms per token is ejected for 1 s. The first
 * probe takes 65 ms per token, so it is ejected for 2 s. The second probe takes 25 ms per token,
 * and the endpoint is in use again.
 *
 * <p>Not thread-safe. All times are in milliseconds of the same monotonic clock.
 */
public final class EndpointStats {
  private static final double SMOOTHING = 0.2;
  private static final int FAILURES_TO_EJECT = 3;
  private static final double SLOW_FACTOR = 2.5;
  private static final double RECOVERED_FACTOR = 1.5;
  private static final long BASE_EJECTION_MS = 1_000;
  private static final long MAX_EJECTION_MS = 30_000;
  private static final double INITIAL_TIME_TO_FIRST_TOKEN_MS = 50;
  private static final double INITIAL_TIME_PER_TOKEN_MS = 20;

  private double timeToFirstTokenMs = INITIAL_TIME_TO_FIRST_TOKEN_MS;
  private double timePerTokenMs = INITIAL_TIME_PER_TOKEN_MS;
  private double timePerChunkMs = INITIAL_TIME_PER_TOKEN_MS;
  private boolean measured;
  private boolean awaitingFirstToken;
  private int inFlight;
  private int consecutiveFailures;
  private long failures;
  private long lastTokenAtMs;
  private EjectionState ejection = EjectionState.IN_USE;
  private long ejectionMs = BASE_EJECTION_MS;
  private long probeDueAtMs;

  /**
   * Handles the sending of a request. If a probe is due, this request is the probe.
   *
   * @param nowMs the current time
   */
  public void onStart(long nowMs) {
    if (inFlight == 0) {
      lastTokenAtMs = nowMs;
      awaitingFirstToken = true;
    }
    inFlight++;
    if (ejection == EjectionState.PROBE_DUE) {
      ejection = EjectionState.PROBING;
      measured = false;
    }
  }

  /**
   * Handles the first token of a response.
   *
   * @param nowMs the current time
   * @param sinceStartMs the time since the request was sent
   */
  public void onFirstToken(long nowMs, double sinceStartMs) {
    lastTokenAtMs = nowMs;
    awaitingFirstToken = false;
    timeToFirstTokenMs += SMOOTHING * (sinceStartMs - timeToFirstTokenMs);
  }

  /**
   * Handles further tokens of a response.
   *
   * @param nowMs the current time
   * @param elapsedMs the time since the previous tokens of the same response
   * @param tokens the number of tokens, at least 1
   */
  public void onTokens(long nowMs, double elapsedMs, int tokens) {
    lastTokenAtMs = nowMs;
    awaitingFirstToken = false;
    double sampleMs = elapsedMs / tokens;
    timePerChunkMs =
        measured ? timePerChunkMs + SMOOTHING * (elapsedMs - timePerChunkMs) : elapsedMs;
    timePerTokenMs = measured ? timePerTokenMs + SMOOTHING * (sampleMs - timePerTokenMs) : sampleMs;
    measured = true;
  }

  /** Handles the success of a request. */
  public void onSuccess() {
    inFlight--;
    consecutiveFailures = 0;
    repeatProbeIfUnmeasured();
  }

  /** Handles the cancellation of a request, which counts neither as success nor as failure. */
  public void onCancelled() {
    inFlight--;
    repeatProbeIfUnmeasured();
  }

  /**
   * Handles the failure of a request.
   *
   * @param nowMs the current time
   */
  public void onFailure(long nowMs) {
    inFlight--;
    failures++;
    consecutiveFailures++;
    if (ejection == EjectionState.PROBING || consecutiveFailures >= FAILURES_TO_EJECT) {
      eject(nowMs);
    }
  }

  /**
   * Returns the median time per token of the endpoints that are in use and run requests.
   *
   * @param views the endpoints of a pool
   * @return the median in milliseconds, 0 if there is no such endpoint
   */
  public static double medianTimePerTokenMs(Collection<EndpointView> views) {
    double[] sorted =
        views.stream()
            .filter(view -> view.ejection() == EjectionState.IN_USE && view.inFlight() > 0)
            .mapToDouble(EndpointView::timePerTokenMs)
            .sorted()
            .toArray();
    return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
  }

  /**
   * Updates the ejection state. To be called a few times a second.
   *
   * @param nowMs the current time
   * @param poolTimePerTokenMs the median of the pool, see {@link #medianTimePerTokenMs}
   */
  public void update(long nowMs, double poolTimePerTokenMs) {
    if (inFlight == 0 && ejection != EjectionState.EJECTED) {
      capEstimateOfIdleEndpoint(poolTimePerTokenMs);
    }
    boolean slow =
        poolTimePerTokenMs > 0 && timePerTokenMs(nowMs) > SLOW_FACTOR * poolTimePerTokenMs;
    switch (ejection) {
      case IN_USE -> {
        if (slow) {
          eject(nowMs);
        }
      }
      case EJECTED, PROBE_DUE -> updateEjected(nowMs, poolTimePerTokenMs);
      case PROBING -> {
        if (slow) {
          eject(nowMs);
        } else if (measured) {
          ejection = EjectionState.IN_USE;
          ejectionMs = BASE_EJECTION_MS;
        }
      }
      default -> {}
    }
  }

  /**
   * Returns the time per token, taking silence into account.
   *
   * @param nowMs the current time
   */
  public double timePerTokenMs(long nowMs) {
    double usualMs =
        awaitingFirstToken ? Math.max(timePerChunkMs, timeToFirstTokenMs) : timePerChunkMs;
    double silence = inFlight > 0 ? (nowMs - lastTokenAtMs) / usualMs : 0;
    return timePerTokenMs * Math.max(1, silence);
  }

  /** Returns the average time to the first token. */
  public double timeToFirstTokenMs() {
    return timeToFirstTokenMs;
  }

  /** Returns the number of requests that were sent and haven't ended. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the number of failed requests. */
  public long failures() {
    return failures;
  }

  /** Returns the ejection state. */
  public EjectionState ejection() {
    return ejection;
  }

  /**
   * Returns a builder of the endpoint's snapshot with the statistics set; the caller adds limit,
   * queue, service state and version.
   *
   * @param name the endpoint's name
   * @param zone its availability zone
   * @param nowMs the current time
   */
  public EndpointView.Builder view(String name, String zone, long nowMs) {
    return EndpointView.builder(name, zone)
        .inFlight(inFlight)
        .timeToFirstTokenMs(timeToFirstTokenMs)
        .timePerTokenMs(timePerTokenMs(nowMs))
        .ejection(ejection)
        .asOfMs(nowMs);
  }

  /** Ends the ejection if running requests are fast again, else marks a probe as due in time. */
  private void updateEjected(long nowMs, double poolTimePerTokenMs) {
    boolean runs = inFlight > 0 && consecutiveFailures == 0;
    if (runs && timePerTokenMs(nowMs) < RECOVERED_FACTOR * poolTimePerTokenMs) {
      ejection = EjectionState.IN_USE;
    } else if (ejection == EjectionState.EJECTED && nowMs >= probeDueAtMs) {
      ejection = EjectionState.PROBE_DUE;
    }
  }

  /** Caps the estimate at the median of the pool: on an idle endpoint a slower one is outdated. */
  private void capEstimateOfIdleEndpoint(double poolTimePerTokenMs) {
    if (poolTimePerTokenMs > 0) {
      timePerTokenMs = Math.min(timePerTokenMs, poolTimePerTokenMs);
    }
  }

  /** Repeats a probe that ended before anything was measured. */
  private void repeatProbeIfUnmeasured() {
    if (ejection == EjectionState.PROBING && inFlight == 0 && !measured) {
      ejection = EjectionState.PROBE_DUE;
    }
  }

  private void eject(long nowMs) {
    if (ejection == EjectionState.PROBING) {
      ejectionMs = Math.min(MAX_EJECTION_MS, 2 * ejectionMs);
    }
    ejection = EjectionState.EJECTED;
    probeDueAtMs = nowMs + ejectionMs;
  }
}
