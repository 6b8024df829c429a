package org.sycamoretrack.daemon.process.storebacked;

import java.util.Optional;
import org.sycamoretrack.core.version.routing.Manifest;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.daemon.request.batch.BatchService;
import org.sycamoretrack.daemon.request.forward.Forwarder;

/** The services of a node that HTTP handlers use. */
public interface NodeServices {
  /** Returns the current route manifest; empty until one has been read. */
  Optional<Manifest> manifest();

  /**
   * Returns whether the manifest is recent enough to conclude that a route it doesn't contain
   * doesn't exist.
   */
  boolean isManifestCurrent();

  /** Returns the forwarder of plain requests. */
  Forwarder forwarder();

  /** Returns the service that stores and runs batches. */
  BatchService batches();

  /** Returns the metrics of the node. */
  StoreBackedNodeMetrics metrics();

  /** Returns whether the node accepts new connections. */
  boolean isReady();

  /**
   * Returns whether this node is registered, so that other nodes don't take over a batch that it
   * accepts.
   */
  boolean isRegistered();

  /**
   * Runs an action once the node has read the manifest and the endpoints after its start; after a
   * limited time also if it has not. Called on the traffic loop.
   *
   * @param action handles a request in either case
   */
  void whenDeploymentRead(Runnable action);

  /**
   * Runs an action once the node is registered after its start; after a limited time also if it is
   * not. Called on the traffic loop.
   *
   * @param action handles a request in either case
   */
  void whenRegistered(Runnable action);

  /** Returns whether the node is stopping and accepts no new batches. */
  boolean isStopping();

  /** Returns whether the node has stopped so far that it refuses all requests. */
  boolean isStopped();

  /** Returns the requests that have to be answered at the end of a planned stop. */
  OpenRequests openRequests();
}
