package org.sycamoretrack.daemon.request.usage;

import java.util.function.LongSupplier;
import org.sycamoretrack.core.request.usage.RequestUsage;
import org.sycamoretrack.core.request.usage.UsageCounter;

/** Counts the plain requests that are forwarded to endpoints. Confined to the traffic loop. */
public final class UsageMeter {
  private static final UsageMeter OFF = new UsageMeter(null, () -> 0);

  private final UsageCounter counter;
  private final LongSupplier timeMs;

  /**
   * Creates a meter.
   *
   * @param counter counts the requests
   * @param timeMs returns the true time in milliseconds since the Unix epoch
   */
  public UsageMeter(UsageCounter counter, LongSupplier timeMs) {
    this.counter = counter;
    this.timeMs = timeMs;
  }

  /** Returns a meter that counts nothing, for deployments without usage reports. */
  public static UsageMeter off() {
    return OFF;
  }

  /**
   * Returns the usage of a request that has not been sent.
   *
   * @param customer the customer, empty if there is none
   */
  public RequestUsage begin(String customer) {
    return counter == null ? RequestUsage.none() : RequestUsage.of(counter, customer);
  }

  /** Returns the true time in milliseconds since the Unix epoch. */
  public long timeMs() {
    return timeMs.getAsLong();
  }
}
