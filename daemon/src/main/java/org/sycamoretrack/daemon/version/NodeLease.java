package org.sycamoretrack.daemon.version;

import java.util.concurrent.CompletionStage;
import org.sycamoretrack.daemon.process.LeaseService;

/** The part of a node's lease that guards orders. */
public interface NodeLease {
  /** Returns the lease's epoch by the clock as it is now, 0 when the lease is not held. */
  long epoch();

  /**
   * Ends the lease of another node if it has run out.
   *
   * @param nodeId the node
   * @return true when that node holds no lease and can't renew the one that it had
   */
  CompletionStage<Boolean> endExpired(String nodeId);

  /**
   * Returns the lease that a service keeps.
   *
   * @param service the service
   */
  static NodeLease of(LeaseService service) {
    return new NodeLease() {
      @Override
      public long epoch() {
        return service.epoch();
      }

      @Override
      public CompletionStage<Boolean> endExpired(String nodeId) {
        return service.endExpired(nodeId);
      }
    };
  }
}
