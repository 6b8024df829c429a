package org.sycamoretrack.daemon.connection;

import org.sycamoretrack.core.connection.EjectionState;
import org.sycamoretrack.core.connection.EndpointView;

/**
 * The load of an endpoint, as the node that sends work to it reports it to the other nodes.
 *
 * @param nameHash hash code of the endpoint's name
 * @param inFlight the number of running requests
 * @param limit the maximum number of concurrent requests
 * @param queuedTokens the expected tokens of queued requests
 * @param timeToFirstTokenUs the measured time to the first token, in microseconds
 * @param timePerTokenUs the measured time per token, in microseconds
 * @param ejection whether the endpoint is ejected from the selection
 * @param leaving whether the endpoint announced its shutdown or does not respond
 * @param servedVersion the weight version that it serves, 0 when unknown
 */
public record EndpointLoad(
    int nameHash,
    int inFlight,
    int limit,
    long queuedTokens,
    long timeToFirstTokenUs,
    long timePerTokenUs,
    EjectionState ejection,
    boolean leaving,
    long servedVersion) {
  private static final double US_PER_MS = 1_000.0;

  /**
   * Returns the load of an endpoint to which this node sends work.
   *
   * @param view the measured load
   * @param leaving whether the endpoint announced its shutdown or does not respond
   * @param servedVersion the weight version that it serves
   */
  public static EndpointLoad of(EndpointView view, boolean leaving, long servedVersion) {
    return new EndpointLoad(
        view.name().hashCode(),
        view.inFlight(),
        view.limit(),
        view.queuedTokens(),
        (long) (view.timeToFirstTokenMs() * US_PER_MS),
        (long) (view.timePerTokenMs() * US_PER_MS),
        view.ejection(),
        leaving,
        servedVersion);
  }

  /**
   * Returns a builder of the view by which endpoints are selected, with this load.
   *
   * @param name the endpoint's name
   * @param zone its availability zone
   * @param asOfMs when this node received the load, by the monotonic clock of this process
   */
  public EndpointView.Builder toView(String name, String zone, long asOfMs) {
    return EndpointView.builder(name, zone)
        .inFlight(inFlight)
        .limit(limit)
        .queuedTokens(queuedTokens)
        .timeToFirstTokenMs(timeToFirstTokenUs / US_PER_MS)
        .timePerTokenMs(timePerTokenUs / US_PER_MS)
        .ejection(ejection)
        .servedVersion(servedVersion)
        .asOfMs(asOfMs);
  }
}
