package org.sycamoretrack.core.version.fleet;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * An endpoint in the platform's list. Immutable.
 *
 * @param id its identifier; a restart may or may not change it
 * @param service the service that it belongs to
 * @param address the address at which it accepts requests
 * @param zone its availability zone
 * @param slots the number of requests that it processes concurrently
 * @param draining whether it is leaving and must get no new work
 * @param startedAtMs its start time, in milliseconds since the epoch; 0 if unknown
 * @param versions the last reported weight version of each model
 * @param spot whether it is a spot endpoint, which may be reclaimed at short notice
 * @param reclaimed whether it is leaving because it was reclaimed
 */
public record Endpoint(
    String id,
    String service,
    InetSocketAddress address,
    String zone,
    int slots,
    boolean draining,
    long startedAtMs,
    Map<String, Integer> versions,
    boolean spot,
    boolean reclaimed) {
  /** Copies the versions. */
  public Endpoint {
    versions = Map.copyOf(versions);
  }

  /**
   * Creates an on-demand endpoint.
   *
   * @param id its identifier
   * @param service the service that it belongs to
   * @param address the address at which it accepts requests
   * @param zone its availability zone
   * @param slots the number of requests that it processes concurrently
   * @param draining whether it is leaving
   * @param startedAtMs its start time, in milliseconds since the epoch; 0 if unknown
   * @param versions the last reported weight version of each model
   */
  public Endpoint(
      String id,
      String service,
      InetSocketAddress address,
      String zone,
      int slots,
      boolean draining,
      long startedAtMs,
      Map<String, Integer> versions) {
    this(id, service, address, zone, slots, draining, startedAtMs, versions, false, false);
  }

  /** Returns this endpoint as one that must get no new work. */
  public Endpoint asDraining() {
    return new Endpoint(
        id, service, address, zone, slots, true, startedAtMs, versions, spot, reclaimed);
  }

  /**
   * Returns the weight version that it serves of a model.
   *
   * @param model the name of the model
   * @return the version; 0 if it doesn't serve the model
   */
  public int version(String model) {
    return versions.getOrDefault(model, 0);
  }
}
