package org.sycamoretrack.core.connection;

import java.util.Objects;
import java.util.Set;
import org.sycamoretrack.core.request.RequestClass;

/**
 * The properties of a request that matter for endpoint selection.
 *
 * @param requestClass its class
 * @param zone the preferred availability zone
 * @param prefixHash a hash of the start of its prompt; 0 if it shares no prefix with other requests
 * @param minWeightVersion the oldest weight version that may serve it, 0 for any
 * @param expectedTokens the expected number of tokens
 * @param excluded endpoints that must not be selected, for example because they failed the request
 *     before
 */
public record RequestTraits(
    RequestClass requestClass,
    String zone,
    long prefixHash,
    long minWeightVersion,
    long expectedTokens,
    Set<String> excluded) {
  /** Copies the excluded endpoints and checks that no component is null. */
  public RequestTraits {
    Objects.requireNonNull(requestClass);
    Objects.requireNonNull(zone);
    excluded = Set.copyOf(excluded);
  }
}
