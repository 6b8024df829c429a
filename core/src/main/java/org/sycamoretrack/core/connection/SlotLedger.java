package org.sycamoretrack.core.connection;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.sycamoretrack.core.version.fleet.Endpoint;

/**
 * Counts the slots of endpoints that this node and others use, and how fast the endpoints work.
 *
 * <p>An endpoint has no priorities and admits in order of arrival, so work that it can't begin is
 * better kept here, where another endpoint may still take it. The load of other nodes is what the
 * endpoint reported with an answer, less what this node had there at that moment; it is believed
 * for {@value #REPORT_VALID_MS} ms. An endpoint that refused gets no work for a pause.
 *
 * <p>Speed is the time between two events of a text, smoothed over time and not over events, so
 * that a full endpoint is judged no faster than an empty one, and compared with the median of all
 * endpoints that made events lately.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 */
public final class SlotLedger {
  /** Others' batches run for about a second, so an older report says nothing. */
  private static final long REPORT_VALID_MS = 1_000;

  /**
   * Time constant of the smoothed speed. Neighbours slow an endpoint down for about as long, which
   * doesn't show as twice the median then; a slowdown of seconds does after half of this time.
   */
  private static final double INTERVAL_TIME_CONSTANT_MS = 600;

  /** Time constant of the speed right now: two events of a text. */
  private static final double RECENT_TIME_CONSTANT_MS = 80;

  /** A pace without a new event for this long says nothing about the endpoint now. */
  private static final long INTERVAL_VALID_MS = 3_000;

  /** Pause after the first failure: some runs of a sound endpoint break off now and then. */
  private static final long FIRST_PAUSE_MS = 60;

  /** Longest pause: an endpoint that crashed is back after some seconds. */
  private static final long MAX_PAUSE_MS = 2_000;

  private static final int MAX_SHIFT = 8;

  private final Map<String, Usage> usages = new HashMap<>();

  /** Creates an empty ledger. */
  public SlotLedger() {}

  /** Notes that a request was sent to an endpoint. */
  public void onSent(String endpointId) {
    usage(endpointId).own++;
  }

  /** Notes that a request at an endpoint ended. */
  public void onEnded(String endpointId) {
    Usage usage = usage(endpointId);
    usage.own = Math.max(0, usage.own - 1);
  }

  /**
   * Notes the load that an endpoint reported.
   *
   * @param endpointId the endpoint
   * @param running the requests that it works on
   * @param waiting the requests in its queue
   * @param nowMs the time now
   */
  public void onReport(String endpointId, int running, int waiting, long nowMs) {
    Usage usage = usage(endpointId);
    usage.others = Math.max(0, running + waiting - usage.own);
    usage.reportedAtMs = nowMs;
  }

  /**
   * Notes that an endpoint refused a request or could not be reached.
   *
   * @param endpointId the endpoint
   * @param untilMs the time until which it gets no work
   */
  public void onRefused(String endpointId, long untilMs) {
    Usage usage = usage(endpointId);
    usage.pausedUntilMs = Math.max(usage.pausedUntilMs, untilMs);
  }

  /**
   * Notes that an endpoint broke off a request without any use. Its pause doubles with each such
   * failure in a row, so that an endpoint that fails fast doesn't draw all work to itself.
   *
   * @param endpointId the endpoint
   * @param nowMs the time now
   */
  public void onFailed(String endpointId, long nowMs) {
    Usage usage = usage(endpointId);
    long pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << Math.min(usage.failures, MAX_SHIFT));
    usage.failures++;
    onRefused(endpointId, nowMs + pauseMs);
  }

  /** Notes that an endpoint finished a request. */
  public void onFinished(String endpointId) {
    usage(endpointId).failures = 0;
  }

  /**
   * Notes the time between two events of a text.
   *
   * @param endpointId the endpoint
   * @param intervalMs the time between them
   * @param nowMs the time now
   */
  public void onEvent(String endpointId, double intervalMs, long nowMs) {
    Usage usage = usage(endpointId);
    long elapsedMs = nowMs - usage.lastEventMs;
    boolean fresh = usage.lastEventMs > 0 && elapsedMs <= INTERVAL_VALID_MS;
    double weight = fresh ? 1 - Math.exp(-elapsedMs / INTERVAL_TIME_CONSTANT_MS) : 1;
    usage.intervalMs += weight * (intervalMs - usage.intervalMs);
    double burstWeight = fresh ? 1 - Math.exp(-elapsedMs / RECENT_TIME_CONSTANT_MS) : 1;
    usage.recentIntervalMs += burstWeight * (intervalMs - usage.recentIntervalMs);
    usage.lastEventMs = nowMs;
  }

  /** Returns whether an endpoint may get work now. */
  public boolean isPaused(String endpointId, long nowMs) {
    return usage(endpointId).pausedUntilMs > nowMs;
  }

  /** Returns how many requests of this node an endpoint has. */
  public int own(String endpointId) {
    return usage(endpointId).own;
  }

  /**
   * Returns the requests at an endpoint, of this node and of others.
   *
   * @param endpointId the endpoint
   * @param nowMs the time now
   */
  public int load(String endpointId, long nowMs) {
    Usage usage = usage(endpointId);
    boolean valid = usage.reportedAtMs > 0 && nowMs - usage.reportedAtMs <= REPORT_VALID_MS;
    return usage.own + (valid ? usage.others : 0);
  }

  /**
   * Returns the number of free slots.
   *
   * @param endpoint the endpoint
   * @param nowMs the time now
   */
  public int free(Endpoint endpoint, long nowMs) {
    return Math.max(0, endpoint.slots() - load(endpoint.id(), nowMs));
  }

  /**
   * Returns how much slower an endpoint has been than the median for about a second.
   *
   * @param endpointId the endpoint
   * @param nowMs the time now
   * @return 1 for the median and for an endpoint that was not measured lately
   */
  public double slowness(String endpointId, long nowMs) {
    return relativeToMedian(usage(endpointId).intervalMs, endpointId, nowMs);
  }

  /**
   * Returns how much slower an endpoint is than the median right now, be it for a moment only.
   *
   * @param endpointId the endpoint
   * @param nowMs the time now
   * @return 1 for the median and for an endpoint that was not measured lately
   */
  public double momentarySlowness(String endpointId, long nowMs) {
    return relativeToMedian(usage(endpointId).recentIntervalMs, endpointId, nowMs);
  }

  /**
   * Returns the larger of {@link #slowness} and {@link #momentarySlowness}, which counts for an
   * endpoint that is to take new work.
   *
   * @param endpointId the endpoint
   * @param nowMs the time now
   */
  public double worstSlowness(String endpointId, long nowMs) {
    Usage usage = usage(endpointId);
    return relativeToMedian(Math.max(usage.intervalMs, usage.recentIntervalMs), endpointId, nowMs);
  }

  private double relativeToMedian(double paceMs, String endpointId, long nowMs) {
    double median = medianIntervalMs(nowMs);
    boolean measured = nowMs - usage(endpointId).lastEventMs <= INTERVAL_VALID_MS;
    return median <= 0 || !measured ? 1 : paceMs / median;
  }

  private double medianIntervalMs(long nowMs) {
    double[] paces =
        usages.values().stream()
            .filter(
                usage -> usage.lastEventMs > 0 && nowMs - usage.lastEventMs <= INTERVAL_VALID_MS)
            .mapToDouble(usage -> usage.intervalMs)
            .toArray();
    Arrays.sort(paces);
    return paces.length == 0 ? 0 : paces[(paces.length - 1) / 2];
  }

  private Usage usage(String endpointId) {
    return usages.computeIfAbsent(endpointId, any -> new Usage());
  }

  /** What is known of one endpoint. */
  private static final class Usage {
    private int own;
    private int others;
    private long reportedAtMs;
    private long pausedUntilMs;
    private int failures;
    private double intervalMs;
    private double recentIntervalMs;
    private long lastEventMs;
  }
}
