package org.sycamoretrack.daemon.version;

import java.util.concurrent.CompletionStage;
import org.sycamoretrack.daemon.process.LeaseService;

/** The operations on node leases that {@link RolloutEpoch} needs. */
public interface NodeLease {
  /**
   * Returns the epoch of this node's lease, or 0 when the lease is not held according to the
   * current time.
   */
  long epoch();

  /**
   * Ends the lease of another node if it has expired.
   *
   * @param nodeId the node
   * @return true when that node holds no lease and cannot renew the previous one
   */
  CompletionStage<Boolean> endExpired(String nodeId);

  /**
   * Returns a view of a lease service.
   *
   * @param service the lease service of this node
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
