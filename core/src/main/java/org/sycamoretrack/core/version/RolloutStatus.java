package org.sycamoretrack.core.version;

/**
 * What a rollout knows of one engine.
 *
 * @param endpoint the endpoint's name
 * @param servedVersion the version that it serves as far as known, {@link
 *     WeightRollout#UNKNOWN_VERSION} before the first read
 * @param proven whether a generated token has shown that version
 * @param loadingVersion the version that is being loaded, or {@link WeightRollout#UNKNOWN_VERSION}
 * @param outOfService whether it gets no new work because of a load
 * @param reachable whether the last read was answered
 * @param failedLoads loads that failed in a row
 */
public record RolloutStatus(
    String endpoint,
    long servedVersion,
    boolean proven,
    long loadingVersion,
    boolean outOfService,
    boolean reachable,
    int failedLoads) {}
