package org.sycamoretrack.core.version.fleet;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * An endpoint as the platform lists it. Immutable.
 *
 * @param id names one start of the endpoint, or several when it keeps its id
 * @param service the service that it belongs to
 * @param address where it takes requests
 * @param zone its availability zone
 * @param slots the number of requests that it works on at once
 * @param draining whether it leaves and must get no new work
 * @param bornMs when it started, in milliseconds since the epoch; 0 when not known
 * @param versions the version of the weights by model, as it said last
 */
public record Endpoint(
    String id,
    String service,
    InetSocketAddress address,
    String zone,
    int slots,
    boolean draining,
    long bornMs,
    Map<String, Integer> versions) {
  /** Copies the versions. */
  public Endpoint {
    versions = Map.copyOf(versions);
  }

  /**
   * Returns the version of a model's weights.
   *
   * @param model the model
   * @return the version; 0 when it doesn't serve the model
   */
  public int version(String model) {
    return versions.getOrDefault(model, 0);
  }
}
