package org.sycamoretrack.core.request.batch;

import java.util.List;
import java.util.Objects;

/**
 * An accepted batch. Immutable.
 *
 * @param id the id of the batch
 * @param host the host to which the route of the batch belongs
 * @param service the service that executes the items
 * @param minVersion the oldest weight version that may generate a token of the batch
 * @param targetGroups the number of complete groups that the submitter waits for, 0 for all
 * @param routeSettings the settings of the route when the batch was accepted
 * @param acceptedAtMs when the batch was accepted, in milliseconds since the Unix epoch
 * @param items the items in the order of the submission
 * @param customer the name of the customer that submitted the batch, empty if there is none
 * @param priority the priority of the batch, 0 for the highest
 */
public record BatchSubmission(
    String id,
    String host,
    String service,
    int minVersion,
    int targetGroups,
    RouteSettings routeSettings,
    long acceptedAtMs,
    List<BatchItem> items,
    String customer,
    int priority) {
  /** Copies the items. */
  public BatchSubmission {
    items = List.copyOf(items);
    Objects.requireNonNull(customer, "customer");
  }

  /**
   * Creates a batch without a customer, with the highest priority.
   *
   * @param id the id of the batch
   * @param host the host to which the route of the batch belongs
   * @param service the service that executes the items
   * @param minVersion the oldest weight version that may generate a token of the batch
   * @param targetGroups the number of complete groups that the submitter waits for, 0 for all
   * @param routeSettings the settings of the route when the batch was accepted
   * @param acceptedAtMs when the batch was accepted, in milliseconds since the Unix epoch
   * @param items the items in the order of the submission
   */
  public BatchSubmission(
      String id,
      String host,
      String service,
      int minVersion,
      int targetGroups,
      RouteSettings routeSettings,
      long acceptedAtMs,
      List<BatchItem> items) {
    this(id, host, service, minVersion, targetGroups, routeSettings, acceptedAtMs, items, "", 0);
  }

  /**
   * Returns this batch with another submitter.
   *
   * @param newCustomer the name of the customer, empty if there is none
   * @param newPriority the priority of the batch, 0 for the highest
   */
  public BatchSubmission submittedBy(String newCustomer, int newPriority) {
    return new BatchSubmission(
        id,
        host,
        service,
        minVersion,
        targetGroups,
        routeSettings,
        acceptedAtMs,
        items,
        newCustomer,
        newPriority);
  }

  /**
   * The settings of a route that apply to the items of a batch.
   *
   * @param attempts the number of failed runs after which an item fails permanently
   * @param singleVersion whether all events of a text must come from one weight version
   * @param maxQueueMs the time after which an item may be abandoned, 0 for no limit
   * @param dueMs the time after which results are overdue, 0 for no limit
   */
  public record RouteSettings(int attempts, boolean singleVersion, long maxQueueMs, long dueMs) {}
}
