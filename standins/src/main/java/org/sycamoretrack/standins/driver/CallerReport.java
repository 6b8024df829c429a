package org.sycamoretrack.standins.driver;

/**
 * Counters and latencies of a caller, from the responses that it received.
 *
 * @param requests calls made
 * @param failed calls without a complete response after all permitted retries
 * @param unsettled calls with an idempotency key for which the service reported that it can't know
 *     whether they were executed
 * @param retries attempts after the first one
 * @param p50Ms median latency to the complete response
 * @param p99Ms 99th percentile of the latency to the complete response
 */
public record CallerReport(
    int requests, int failed, int unsettled, int retries, double p50Ms, double p99Ms) {}
