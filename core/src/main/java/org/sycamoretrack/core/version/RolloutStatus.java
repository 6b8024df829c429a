package org.sycamoretrack.core.version;

/**
 * The state of one engine in a weight rollout.
 *
 * @param endpoint the endpoint's name
 * @param servedVersion the version that it serves, verified or reported; {@link
 *     WeightRollout#UNKNOWN_VERSION} before the first read
 * @param verified whether a generated token has verified that version
 * @param loadingVersion the version that is being loaded, or {@link WeightRollout#UNKNOWN_VERSION}
 * @param outOfService whether it gets no new work because of a load
 * @param reachable whether the last read succeeded
 * @param failedLoads the number of consecutive failed loads
 */
public record RolloutStatus(
    String endpoint,
    long servedVersion,
    boolean verified,
    long loadingVersion,
    boolean outOfService,
    boolean reachable,
    int failedLoads) {}
