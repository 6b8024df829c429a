package org.sycamoretrack.standins.driver;

/**
 * What a caller counted, from the answers that it received.
 *
 * @param requests calls that it made
 * @param failed calls without the whole answer, after all allowed retries
 * @param unsettled calls with a key of which the service says that it can't know whether they ran
 * @param retries sendings after the first
 * @param p50Ms median time to the whole answer
 * @param p99Ms 99th percentile of the time to the whole answer
 */
public record CallerReport(
    int requests, int failed, int unsettled, int retries, double p50Ms, double p99Ms) {}
