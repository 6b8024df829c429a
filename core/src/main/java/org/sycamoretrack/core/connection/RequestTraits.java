package org.sycamoretrack.core.connection;

import java.util.Objects;
import java.util.Set;
import org.sycamoretrack.core.request.RequestClass;

/**
 * What of a request matters for the choice of its endpoint.
 *
 * @param requestClass its class
 * @param zone the zone that is preferred
 * @param prefixHash hash of the start of its prompt; 0 when no prefix is shared
 * @param minWeightVersion the oldest weight version that may serve it, 0 for any
 * @param expectedTokens how many tokens it is expected to take
 * @param excluded endpoints that must not be chosen, for example those that failed it before
 */
public record RequestTraits(
    RequestClass requestClass,
    String zone,
    long prefixHash,
    long minWeightVersion,
    long expectedTokens,
    Set<String> excluded) {
  /** Checks and copies the parts. */
  public RequestTraits {
    Objects.requireNonNull(requestClass);
    Objects.requireNonNull(zone);
    excluded = Set.copyOf(excluded);
  }
}
