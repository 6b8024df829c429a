package org.sycamoretrack.core.connection;

/**
 * Measures one endpoint from its answers and decides on its ejection.
 *
 * <p>Averages are exponentially weighted. The time for a token also counts silence: while requests
 * run and no token has come for longer than the average, the silence is the better estimate, so
 * that a stalled endpoint looks slow before its answer is late.
 *
 * <p>Ejection: after {@value #FAILURES_TO_EJECT} failures in a row, or when a token takes {@value
 * #SLOW_FACTOR} times the median of the pool (see {@link #update}). An ejected endpoint is due a
 * probe after a pause; a probe that ends well and fast brings it back, any other one doubles the
 * pause, up to {@value #MAX_PAUSE_MS} ms.
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
  private static final long FIRST_PAUSE_MS = 1_000;
  private static final long MAX_PAUSE_MS = 30_000;
  private static final double INITIAL_TIME_TO_FIRST_TOKEN_MS = 50;
  private static final double INITIAL_TIME_PER_TOKEN_MS = 20;

  private double timeToFirstTokenMs = INITIAL_TIME_TO_FIRST_TOKEN_MS;
  private double timePerTokenMs = INITIAL_TIME_PER_TOKEN_MS;
  private boolean measured;
  private int inFlight;
  private int failuresInRow;
  private long failures;
  private long lastTokenAtMs;
  private EjectionState ejection = EjectionState.IN_USE;
  private long pauseMs = FIRST_PAUSE_MS;
  private long probeDueAtMs;

  /**
   * Notes that a request was sent. While a probe is due, this request is the probe.
   *
   * @param nowMs the time now
   */
  public void onStart(long nowMs) {
    if (inFlight == 0) {
      lastTokenAtMs = nowMs;
    }
    inFlight++;
    if (ejection == EjectionState.PROBE_DUE) {
      ejection = EjectionState.PROBING;
      timePerTokenMs = 0;
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
    double sampleMs = elapsedMs / tokens;
    timePerTokenMs = measured ? timePerTokenMs + SMOOTHING * (sampleMs - timePerTokenMs) : sampleMs;
    measured = true;
  }

  /** Notes that a request ended well. */
  public void onSuccess() {
    inFlight--;
    failuresInRow = 0;
  }

  /** Notes that a request was cancelled, which says nothing of the endpoint. */
  public void onCancelled() {
    inFlight--;
  }

  /**
   * Notes that the endpoint failed a request.
   *
   * @param nowMs the time now
   */
  public void onFailure(long nowMs) {
    inFlight--;
    failures++;
    failuresInRow++;
    if (ejection == EjectionState.PROBING || failuresInRow >= FAILURES_TO_EJECT) {
      eject(nowMs);
    }
  }

  /**
   * Moves the ejection state on; call it a few times a second.
   *
   * @param nowMs the time now
   * @param poolTimePerTokenMs the median over the pool of the time for a token, 0 when not known
   */
  public void update(long nowMs, double poolTimePerTokenMs) {
    boolean slow =
        poolTimePerTokenMs > 0 && timePerTokenMs(nowMs) > SLOW_FACTOR * poolTimePerTokenMs;
    switch (ejection) {
      case IN_USE -> {
        if (slow) {
          eject(nowMs);
        }
      }
      case EJECTED -> {
        if (nowMs >= probeDueAtMs) {
          ejection = EjectionState.PROBE_DUE;
        }
      }
      case PROBING -> {
        if (slow) {
          eject(nowMs);
        } else if (measured) {
          ejection = EjectionState.IN_USE;
          pauseMs = FIRST_PAUSE_MS;
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
    return inFlight > 0
        ? Math.max(timePerTokenMs, (double) (nowMs - lastTokenAtMs))
        : timePerTokenMs;
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

  private void eject(long nowMs) {
    if (ejection == EjectionState.PROBING) {
      pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
    }
    ejection = EjectionState.EJECTED;
    probeDueAtMs = nowMs + pauseMs;
  }
}
