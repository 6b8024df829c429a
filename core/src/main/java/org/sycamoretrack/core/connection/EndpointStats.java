package org.sycamoretrack.core.connection;

import java.util.Collection;

/**
 * Measures one endpoint from its answers and decides on its ejection.
 *
 * <p>Averages are exponentially weighted. The time for a token also counts silence: while requests
 * run and nothing has come for longer than the usual time between two chunks of an answer (before
 * the first chunk: the usual time to it), the estimate grows in proportion, so that a stalled
 * endpoint looks slow before its answers are late.
 *
 * <p>Ejection: after {@value #FAILURES_TO_EJECT} failures in a row, or when a token takes {@value
 * #SLOW_FACTOR} times the median of the pool (see {@link #update}). Requests that still run on an
 * ejected endpoint bring it back as soon as they are fast again; without any, it is due a probe
 * after a pause: a fast probe brings it back, any other one doubles the pause, up to {@value
 * #MAX_EJECTION_MS} ms.
 *
 * <p>Example: median 20 ms, endpoint at 70 ms: ejected for 1 s, probed; the probe takes 65 ms a
 * token: ejected for 2 s, probed; the probe takes 25 ms a token: in use.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
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
   * Notes that a request was sent. While a probe is due, this request is the probe.
   *
   * @param nowMs the time now
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
   * Notes the first token of an answer.
   *
   * @param nowMs the time now
   * @param sinceStartMs the time since the request was sent
   */
  public void onFirstToken(long nowMs, double sinceStartMs) {
    lastTokenAtMs = nowMs;
    awaitingFirstToken = false;
    timeToFirstTokenMs += SMOOTHING * (sinceStartMs - timeToFirstTokenMs);
  }

  /**
   * Notes further tokens of an answer.
   *
   * @param nowMs the time now
   * @param elapsedMs the time since the tokens before them, of the same answer
   * @param tokens how many came, at least 1
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

  /** Notes that a request ended well. */
  public void onSuccess() {
    inFlight--;
    consecutiveFailures = 0;
    repeatProbeIfUnmeasured();
  }

  /** Notes that a request was cancelled, which says nothing of the endpoint. */
  public void onCancelled() {
    inFlight--;
    repeatProbeIfUnmeasured();
  }

  /**
   * Notes that the endpoint failed a request.
   *
   * @param nowMs the time now
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
   * Returns the median time for a token over the endpoints that are in use and run requests.
   *
   * @param views the endpoints of a pool
   * @return milliseconds, 0 when nothing runs
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
   * Moves the ejection state on; call it a few times a second.
   *
   * @param nowMs the time now
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
   * Returns the time for a token, counting silence.
   *
   * @param nowMs the time now
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

  /** Returns how many requests were sent and haven't ended. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns how many requests the endpoint failed. */
  public long failures() {
    return failures;
  }

  /** Returns whether the endpoint is ejected. */
  public EjectionState ejection() {
    return ejection;
  }

  /**
   * Returns a builder of the endpoint's snapshot with all that is measured here; the caller adds
   * limit, queue, service state and version.
   *
   * @param name the endpoint's name
   * @param zone its availability zone
   * @param nowMs the time now
   */
  public EndpointView.Builder view(String name, String zone, long nowMs) {
    return EndpointView.builder(name, zone)
        .inFlight(inFlight)
        .timeToFirstTokenMs(timeToFirstTokenMs)
        .timePerTokenMs(timePerTokenMs(nowMs))
        .ejection(ejection)
        .asOfMs(nowMs);
  }

  /** Requests that still run show whether the endpoint recovered. */
  private void updateEjected(long nowMs, double poolTimePerTokenMs) {
    boolean runs = inFlight > 0 && consecutiveFailures == 0;
    if (runs && timePerTokenMs(nowMs) < RECOVERED_FACTOR * poolTimePerTokenMs) {
      ejection = EjectionState.IN_USE;
    } else if (ejection == EjectionState.EJECTED && nowMs >= probeDueAtMs) {
      ejection = EjectionState.PROBE_DUE;
    }
  }

  /** On an idle endpoint, an old measurement that is worse than the pool's says nothing. */
  private void capEstimateOfIdleEndpoint(double poolTimePerTokenMs) {
    if (poolTimePerTokenMs > 0) {
      timePerTokenMs = Math.min(timePerTokenMs, poolTimePerTokenMs);
    }
  }

  /** A probe that ended before it measured anything is due again. */
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
