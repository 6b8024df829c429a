package org.sycamoretrack.daemon.version.deployment;

import java.util.Map;
import org.sycamoretrack.core.process.ownership.WrittenRowState;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;

/**
 * A copy of the owner rows of all open batches. Immutable.
 *
 * @param byBatchId the owners by batch id
 * @param completeVersion the version of the store up to which the copy is complete
 */
public record BatchOwners(Map<String, Owner> byBatchId, long completeVersion) {
  /** The copy before anything was read. */
  public static final BatchOwners NOT_READ = new BatchOwners(Map.of(), 0);

  /** Copies the map. */
  public BatchOwners {
    byBatchId = Map.copyOf(byBatchId);
  }

  /**
   * Returns what this copy says about an owner row.
   *
   * @param written the row as this process wrote it
   */
  public WrittenRowState stateOf(Owner written) {
    Owner copied = byBatchId.get(written.batchId());
    return WrittenRowState.of(
        written.version(), copied == null ? 0 : copied.version(), completeVersion);
  }
}
