package org.sycamoretrack.core.connection;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.sycamoretrack.core.version.fleet.Endpoint;

/**
 * Tracks the slots of endpoints in use by this node and by others, and the speed of the endpoints.
 *
 * <p>An endpoint admits requests in order of arrival without priorities. Work that it can't start
 * immediately is therefore kept in this node, where another endpoint may still take it. The load of
 * other nodes is the load that the endpoint reported with a response, minus the requests that this
 * node had in flight there at that moment; a report is valid for {@value #REPORT_VALID_MS} ms. An
 * endpoint that refused a request gets no work during a pause.
 *
 * <p>Speed is measured as the interval between two events of a text. It is smoothed over time and
 * not over events, so that a full endpoint, which produces more events, does not adapt faster than
 * an empty one, and is compared with the median of all endpoints with recent events.
 *
 * <p>Not thread-safe. All times are in milliseconds of the same monotonic clock.
 */
public final class SlotTracker {
  /** Batches of other nodes run for about a second, so an older report is outdated. */
  private static final long REPORT_VALID_MS = 1_000;

  /**
   * The current slowdown from which an endpoint counts as slow at the moment; well above the
   * variation between single events.
   */
  public static final double TRANSIENT_SLOW_FACTOR = 1.8;

  /**
   * Time constant of the smoothed interval, about the duration of a slowdown by noisy neighbours.
   * Such a slowdown does not raise the interval to twice the median; one of several seconds does so
   * after half of this time.
   */
  private static final double INTERVAL_TIME_CONSTANT_MS = 600;

  /** Time constant of the recent interval, about two events of a text. */
  private static final double RECENT_TIME_CONSTANT_MS = 80;

  /** A measurement is outdated when there was no new event for this long. */
  private static final long INTERVAL_VALID_MS = 3_000;

  /** Pause after the first failure, short because requests at a healthy endpoint sometimes fail. */
  private static final long FIRST_PAUSE_MS = 60;

  /** Maximum pause: a crashed endpoint is available again after a few seconds. */
  private static final long MAX_PAUSE_MS = 2_000;

  private static final int MAX_SHIFT = 8;

  private final Map<String, Usage> usages = new HashMap<>();

  /** Creates an instance without any requests or measurements. */
  public SlotTracker() {}

  /** Handles the sending of a request to an endpoint. */
  public void onSent(String endpointId) {
    usage(endpointId).ownRequests++;
  }

  /** Handles the end of a request at an endpoint, whatever its result. */
  public void onEnded(String endpointId) {
    Usage usage = usage(endpointId);
    usage.ownRequests = Math.max(0, usage.ownRequests - 1);
  }

  /**
   * Handles a load report of an endpoint.
   *
   * @param endpointId the id of the endpoint
   * @param running the number of requests that it is processing
   * @param waiting the number of requests in its queue
   * @param nowMs the current time
   */
  public void onReport(String endpointId, int running, int waiting, long nowMs) {
    Usage usage = usage(endpointId);
    usage.otherRequests = Math.max(0, running + waiting - usage.ownRequests);
    usage.reportedAtMs = nowMs;
  }

  /**
   * Handles an endpoint that refused a request or was unreachable.
   *
   * @param endpointId the id of the endpoint
   * @param untilMs the time until which it gets no work
   */
  public void onRefused(String endpointId, long untilMs) {
    Usage usage = usage(endpointId);
    usage.pausedUntilMs = Math.max(usage.pausedUntilMs, untilMs);
  }

  /**
   * Handles a request that failed without a usable result. The pause of the endpoint doubles with
   * each consecutive failure, so that an endpoint that fails fast doesn't attract all work.
   *
   * @param endpointId the id of the endpoint
   * @param nowMs the current time
   */
  public void onFailed(String endpointId, long nowMs) {
    Usage usage = usage(endpointId);
    long pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << Math.min(usage.failures, MAX_SHIFT));
    usage.failures++;
    onRefused(endpointId, nowMs + pauseMs);
  }

  /** Handles the successful completion of a request at an endpoint. */
  public void onFinished(String endpointId) {
    usage(endpointId).failures = 0;
  }

  /**
   * Handles an event of a text.
   *
   * @param endpointId the id of the endpoint
   * @param intervalMs the time since the previous event of the text
   * @param nowMs the current time
   */
  public void onEvent(String endpointId, double intervalMs, long nowMs) {
    Usage usage = usage(endpointId);
    long elapsedMs = nowMs - usage.lastEventMs;
    boolean valid = usage.lastEventMs > 0 && elapsedMs <= INTERVAL_VALID_MS;
    double weight = valid ? 1 - Math.exp(-elapsedMs / INTERVAL_TIME_CONSTANT_MS) : 1;
    usage.intervalMs += weight * (intervalMs - usage.intervalMs);
    double recentWeight = valid ? 1 - Math.exp(-elapsedMs / RECENT_TIME_CONSTANT_MS) : 1;
    usage.recentIntervalMs += recentWeight * (intervalMs - usage.recentIntervalMs);
    usage.lastEventMs = nowMs;
  }

  /** Returns whether an endpoint is paused and must get no work now. */
  public boolean isPaused(String endpointId, long nowMs) {
    return usage(endpointId).pausedUntilMs > nowMs;
  }

  /** Returns the number of requests that this node has at an endpoint. */
  public int ownRequests(String endpointId) {
    return usage(endpointId).ownRequests;
  }

  /**
   * Returns the number of requests at an endpoint, of this node and of others.
   *
   * @param endpointId the id of the endpoint
   * @param nowMs the current time
   */
  public int load(String endpointId, long nowMs) {
    Usage usage = usage(endpointId);
    boolean valid = usage.reportedAtMs > 0 && nowMs - usage.reportedAtMs <= REPORT_VALID_MS;
    return usage.ownRequests + (valid ? usage.otherRequests : 0);
  }

  /**
   * Returns the number of requests of others at an endpoint according to its last report, however
   * old that is; 0 if there was none.
   */
  int reportedOthers(String endpointId) {
    return usage(endpointId).otherRequests;
  }

  /** Returns the age of the last report of an endpoint, or a very large number if there is none. */
  long reportAgeMs(String endpointId, long nowMs) {
    long reportedAtMs = usage(endpointId).reportedAtMs;
    return reportedAtMs > 0 ? nowMs - reportedAtMs : Integer.MAX_VALUE;
  }

  /**
   * Returns the number of free slots.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time
   */
  public int free(Endpoint endpoint, long nowMs) {
    return Math.max(0, endpoint.slots() - load(endpoint.id(), nowMs));
  }

  /**
   * Returns the slowdown of an endpoint over about the last second, as a multiple of the median
   * interval between events.
   *
   * @param endpointId the id of the endpoint
   * @param nowMs the current time
   * @return 1 for the median and for an endpoint without recent measurements
   */
  public double slowdown(String endpointId, long nowMs) {
    return relativeToMedian(usage(endpointId).intervalMs, endpointId, nowMs);
  }

  /**
   * Returns the current slowdown of an endpoint, even if it is only brief, as a multiple of the
   * median interval between events.
   *
   * @param endpointId the id of the endpoint
   * @param nowMs the current time
   * @return 1 for the median and for an endpoint without recent measurements
   */
  public double currentSlowdown(String endpointId, long nowMs) {
    return relativeToMedian(usage(endpointId).recentIntervalMs, endpointId, nowMs);
  }

  /**
   * Returns the larger of {@link #slowdown} and {@link #currentSlowdown}, which is relevant for
   * assigning new work.
   *
   * @param endpointId the id of the endpoint
   * @param nowMs the current time
   */
  public double worstSlowdown(String endpointId, long nowMs) {
    Usage usage = usage(endpointId);
    return relativeToMedian(Math.max(usage.intervalMs, usage.recentIntervalMs), endpointId, nowMs);
  }

  private double relativeToMedian(double intervalMs, String endpointId, long nowMs) {
    double median = medianIntervalMs(nowMs);
    boolean measured = nowMs - usage(endpointId).lastEventMs <= INTERVAL_VALID_MS;
    return median <= 0 || !measured ? 1 : intervalMs / median;
  }

  private double medianIntervalMs(long nowMs) {
    double[] intervals =
        usages.values().stream()
            .filter(
                usage -> usage.lastEventMs > 0 && nowMs - usage.lastEventMs <= INTERVAL_VALID_MS)
            .mapToDouble(usage -> usage.intervalMs)
            .toArray();
    Arrays.sort(intervals);
    return intervals.length == 0 ? 0 : intervals[(intervals.length - 1) / 2];
  }

  private Usage usage(String endpointId) {
    return usages.computeIfAbsent(endpointId, any -> new Usage());
  }

  /** The state of one endpoint. */
  private static final class Usage {
    private int ownRequests;
    private int otherRequests;
    private long reportedAtMs;
    private long pausedUntilMs;
    private int failures;
    private double intervalMs;
    private double recentIntervalMs;
    private long lastEventMs;
  }
}
