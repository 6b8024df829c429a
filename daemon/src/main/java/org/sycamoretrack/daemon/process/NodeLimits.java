package org.sycamoretrack.daemon.process;

/**
 * The limits of a node. The schema of the settings holds the allowed ranges, the resource {@code
 * limits.default.json} the values of a node whose settings name none.
 *
 * @param trafficThreads threads that carry traffic
 * @param maxBodyBytes the largest request body
 * @param maxHeaderBytes the largest sum of a request's headers
 * @param requestTimeoutMs time within which a request must arrive whole
 * @param connectTimeoutMs time to open a connection to an endpoint or the platform
 * @param streamIdleTimeoutMs longest pause of an endpoint within an answer
 * @param defaultDeadlineMs deadline of requests that bring none
 * @param stopTimeoutMs longest time that a graceful stop waits for requests in flight
 * @param endpointQueue most requests that wait for one endpoint
 * @param maxEndpointConcurrency most requests in flight at one endpoint
 * @param maxOpenSteps most steps that the node owns at a time
 * @param maxUndeliveredBytes most text of finished, undelivered samples that the node keeps
 */
public record NodeLimits(
    int trafficThreads,
    int maxBodyBytes,
    int maxHeaderBytes,
    int requestTimeoutMs,
    int connectTimeoutMs,
    int streamIdleTimeoutMs,
    int defaultDeadlineMs,
    int stopTimeoutMs,
    int endpointQueue,
    int maxEndpointConcurrency,
    int maxOpenSteps,
    int maxUndeliveredBytes) {}
