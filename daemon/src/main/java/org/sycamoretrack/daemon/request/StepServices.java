package org.sycamoretrack.daemon.request;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sycamoretrack.daemon.process.Metrics;

/**
 * What all steps of a node share.
 *
 * @param generator generates samples
 * @param scorer scores them
 * @param sink takes note of finished samples
 * @param routes gives the newest routing table
 * @param trackSettings gives what the configuration says of a track
 * @param memory bounds what is kept of finished samples
 * @param metrics the node's metrics
 */
record StepServices(
    Generator generator,
    Scorer scorer,
    SampleSink sink,
    Supplier<RoutingTable> routes,
    Function<String, Optional<TrackSettings>> trackSettings,
    SampleMemoryBudget memory,
    Metrics metrics) {}
