package org.sycamoretrack.core.request.batch;

import java.util.List;

/**
 * A batch as it was accepted. Immutable.
 *
 * @param id its id
 * @param host the host that its route belongs to
 * @param service the service that runs its items
 * @param minVersion the oldest version of the weights that may make a token of it
 * @param targetGroups how many whole groups its submitter waits for, 0 for all
 * @param terms what its route allowed when it was accepted
 * @param acceptedAtMs when it was accepted, in milliseconds since the epoch
 * @param items its items in the order of the submission
 */
public record BatchSubmission(
    String id,
    String host,
    String service,
    int minVersion,
    int targetGroups,
    Terms terms,
    long acceptedAtMs,
    List<BatchItem> items) {
  /** Copies the items. */
  public BatchSubmission {
    items = List.copyOf(items);
  }

  /**
   * What a route grants to the items of a batch.
   *
   * @param attempts how many failed runs make an item failed for good
   * @param singleVersion whether all events of a text must come from one version
   * @param maxQueueMs the time after which an item may be given up, 0 for none
   * @param dueMs the time after which results are late, 0 for none
   */
  public record Terms(int attempts, boolean singleVersion, long maxQueueMs, long dueMs) {}
}
