package org.sycamoretrack.core.version.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The endpoints that have said themselves that they are leaving.
 *
 * <p>What an endpoint says holds for as long as that instance runs, whatever the platform's list
 * says afterwards: its row may lag behind, be read again or not be readable at all. An instance is
 * the id and the start time: an endpoint that starts again under its id, or another one at its
 * address, has said nothing.
 *
 * <p>Example: instance {@code (e-1, started 100)} says that it is leaving. The list still has it as
 * ready, so it is treated as draining. Then the list has {@code (e-1, started 900)}, which gets
 * work.
 *
 * <p>The {@value #MAX_ENDPOINTS} newest statements are kept, some times as many as endpoints leave
 * within the time that a row may lag. Not thread-safe.
 */
public final class LeavingEndpoints {
  private static final int MAX_ENDPOINTS = 8_192;

  private final Map<String, Long> startedAtMsById = new LinkedHashMap<>();

  /** Creates an instance without any statements. */
  public LeavingEndpoints() {}

  /**
   * Records that an instance is leaving.
   *
   * @param id the id of the endpoint
   * @param startedAtMs the start time of the instance, 0 if unknown
   * @return whether this was not known
   */
  public boolean add(String id, long startedAtMs) {
    Long known = startedAtMsById.get(id);
    if (known != null && known >= startedAtMs) {
      return false;
    }
    startedAtMsById.remove(id);
    startedAtMsById.put(id, startedAtMs);
    if (startedAtMsById.size() > MAX_ENDPOINTS) {
      startedAtMsById.remove(startedAtMsById.keySet().iterator().next());
    }
    return true;
  }

  /**
   * Returns whether an instance has said that it is leaving.
   *
   * @param endpoint the endpoint
   */
  public boolean contains(Endpoint endpoint) {
    Long startedAtMs = startedAtMsById.get(endpoint.id());
    return startedAtMs != null && startedAtMs == endpoint.startedAtMs();
  }

  /**
   * Returns an endpoint of the platform's list, as draining if it has said that it is leaving.
   *
   * @param endpoint the endpoint as listed
   */
  public Endpoint apply(Endpoint endpoint) {
    return contains(endpoint) ? endpoint.asDraining() : endpoint;
  }
}
