package org.sycamoretrack.daemon.client;

import java.util.concurrent.CompletionStage;

/**
 * Sends calls to the operator's control service.
 *
 * <p>Each call names its holder and the epoch of its lease, which the service is not required to
 * check. The caller therefore checks its lease immediately before each call. The stages never fail:
 * every failure is a {@link DutyOutcome}. They complete on the event loop of the client.
 */
public interface DutyClient {
  /**
   * Reports the usage in one window. The service ignores an exact repetition of a report.
   *
   * @param grant the permission of this node
   * @param report the report
   */
  CompletionStage<DutyOutcome> reportUsage(DutyGrant grant, UsageReport report);

  /**
   * Sets the number of endpoints of a service in a zone.
   *
   * @param grant the permission of this node
   * @param order the order
   */
  CompletionStage<DutyOutcome> orderCapacity(DutyGrant grant, CapacityOrder order);
}
