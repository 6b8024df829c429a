package org.sycamoretrack.daemon.process;

/**
 * The limits of a node. The settings schema defines the allowed ranges; the resource {@code
 * limits.default.json} contains the default values.
 *
 * @param trafficThreads number of event loop threads for traffic
 * @param maxBodyBytes maximum size of a request body
 * @param maxHeaderBytes maximum total size of a request's headers
 * @param requestTimeoutMs time within which a request must arrive completely
 * @param connectTimeoutMs timeout for opening a connection to an endpoint or the platform
 * @param streamIdleTimeoutMs maximum pause of an endpoint within a response
 * @param defaultDeadlineMs deadline of requests that specify none
 * @param stopTimeoutMs maximum time that a graceful stop waits for requests in flight
 * @param endpointQueue maximum number of requests queued for one endpoint
 * @param maxEndpointConcurrency maximum number of requests in flight at one endpoint
 * @param maxOpenSteps maximum number of steps that the node owns at a time
 * @param maxUndeliveredBytes maximum size of the text of finished, undelivered samples that the
 *     node keeps in memory
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
