package org.sycamoretrack.daemon.process.rollout;

import java.util.Optional;
import org.sycamoretrack.core.version.routing.Manifest;
import org.sycamoretrack.daemon.process.RolloutMetrics;
import org.sycamoretrack.daemon.request.batch.BatchService;
import org.sycamoretrack.daemon.request.forward.Forwarder;

/** What a node does for callers. */
public interface NodeServices {
  /** Returns the routes that are in force; empty before any is known. */
  Optional<Manifest> manifest();

  /** Returns whether the routes are known to be the newest, so that a route is truly unknown. */
  boolean isManifestCurrent();

  /** Returns what forwards plain requests. */
  Forwarder forwarder();

  /** Returns what keeps batches. */
  BatchService batches();

  /** Returns what counts the calls. */
  RolloutMetrics metrics();

  /** Returns whether the node takes new connections. */
  boolean isReady();

  /**
   * Returns whether other nodes know this one, so that a batch that it accepts isn't taken over.
   */
  boolean isRegistered();

  /** Returns whether the node is stopping and takes no new batches. */
  boolean isStopping();
}
