package org.sycamoretrack.daemon.connection;

import org.sycamoretrack.core.connection.EjectionState;
import org.sycamoretrack.core.connection.EndpointView;

/**
 * What the node that looks after an endpoint tells the others about it.
 *
 * @param nameHash hash of the endpoint's name
 * @param inFlight requests that run
 * @param limit requests that may run at once
 * @param queuedTokens expected tokens of requests that wait
 * @param timeToFirstTokenUs measured time to the first token, in microseconds
 * @param timePerTokenUs measured time for a token, in microseconds
 * @param ejection whether the endpoint is kept out of use
 * @param leaving whether the endpoint said that it is about to leave, or does not answer
 * @param servedVersion the weight version that it serves, 0 when not known
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
   * Returns the load of an endpoint that this node looks after.
   *
   * @param view what was measured
   * @param leaving whether the endpoint is about to leave
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
   * Returns the load as a view for the choice of an endpoint.
   *
   * @param name the endpoint's name
   * @param zone its zone
   * @param asOfMs when the load arrived, by the monotonic clock of this process
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
