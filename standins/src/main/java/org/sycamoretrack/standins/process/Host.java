package org.sycamoretrack.standins.process;

/**
 * An entry of the host list. Serialized as JSON with its components as fields.
 *
 * @param hostId unique id of the host
 * @param role {@code entry} or {@code endpoint}
 * @param address the IP address
 * @param port the port
 * @param zone the availability zone
 * @param pool the pool of an endpoint, or null
 * @param state {@code live} or {@code leaving}
 */
public record Host(
    String hostId, String role, String address, int port, String zone, String pool, String state) {
  /**
   * Returns a copy of this host with another state.
   *
   * @param newState {@code live} or {@code leaving}
   */
  public Host withState(String newState) {
    return new Host(hostId, role, address, port, zone, pool, newState);
  }
}
