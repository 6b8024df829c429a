package org.sycamoretrack.daemon.request;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sycamoretrack.daemon.process.NodeMetrics;

/**
 * The dependencies shared by all steps of a node.
 *
 * @param generator generates samples
 * @param scorer scores samples
 * @param sink is notified of finished samples and closed steps
 * @param routes supplies the current routing table
 * @param trackSettings returns the configuration of a track by its name
 * @param memory limits the memory for undelivered samples
 * @param metrics the node's metrics
 */
record StepServices(
    Generator generator,
    Scorer scorer,
    SampleSink sink,
    Supplier<RoutingTable> routes,
    Function<String, Optional<TrackSettings>> trackSettings,
    SampleMemoryBudget memory,
    NodeMetrics metrics) {}
