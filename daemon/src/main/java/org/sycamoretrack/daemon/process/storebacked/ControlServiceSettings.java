package org.sycamoretrack.daemon.process.storebacked;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Set;
import org.sycamoretrack.daemon.version.duty.Duty;

/**
 * The settings for calls to the operator's control service.
 *
 * @param address the address of the service
 * @param duties the duties that the deployment performs at the service
 * @param callsPerSecond the rate that the calls of all nodes together must not exceed
 * @param usageWindowMs the length of a window of usage reports, in milliseconds
 * @param usageDeadlineMs the time after the end of a window at which its report is due, in
 *     milliseconds
 */
public record ControlServiceSettings(
    InetSocketAddress address,
    Set<Duty> duties,
    int callsPerSecond,
    long usageWindowMs,
    long usageDeadlineMs) {
  /** Copies the duties and checks the values. */
  public ControlServiceSettings {
    Objects.requireNonNull(address, "address");
    duties = Set.copyOf(duties);
    if (callsPerSecond <= 0 || usageWindowMs <= 0 || usageDeadlineMs <= 0) {
      throw new IllegalArgumentException("rates and durations must be greater than 0");
    }
  }
}
