package org.sycamoretrack.core.request.usage;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts one attempt of a caller once, at whatever number of endpoints it is tried.
 *
 * <p>The request counts from the time at which it was sent to the first endpoint that has not
 * refused it. When that endpoint refuses it, the next one takes its place; when no endpoint is
 * left, the request is not counted. An endpoint from which no response arrives may have executed
 * the request, so it stays counted.
 *
 * <p>Example: a request is sent to endpoint a at 4,990 ms and, as a hedge, to b at 5,080 ms. It
 * counts in the window that begins at 0. If a then refuses it, it counts in the window that begins
 * at 5,000 ms.
 *
 * <p>Not thread-safe.
 */
public final class RequestUsage {
  private static final RequestUsage NONE = new RequestUsage(null, "");

  private final UsageCounter counter;
  private final String customer;
  private final Map<String, Long> sentMs = new LinkedHashMap<>();

  private RequestUsage(UsageCounter counter, String customer) {
    this.counter = counter;
    this.customer = customer;
  }

  /** Returns an instance that counts nothing, for requests without a customer. */
  public static RequestUsage none() {
    return NONE;
  }

  /**
   * Returns an instance for a request that has not been sent.
   *
   * @param counter counts the request
   * @param customer the customer, empty if there is none
   */
  public static RequestUsage of(UsageCounter counter, String customer) {
    return customer.isEmpty() ? NONE : new RequestUsage(counter, customer);
  }

  /**
   * Called when the request is sent to an endpoint.
   *
   * @param endpoint the id of the endpoint
   * @param timeMs the time, in milliseconds since the Unix epoch
   */
  public void onSent(String endpoint, long timeMs) {
    if (counter == null) {
      return;
    }
    if (sentMs.isEmpty()) {
      counter.add(customer, timeMs, 1);
    }
    sentMs.put(endpoint, timeMs);
  }

  /**
   * Called when an endpoint has refused the request without executing it.
   *
   * @param endpoint the id of the endpoint
   */
  public void onRefused(String endpoint) {
    if (counter == null || !sentMs.containsKey(endpoint)) {
      return;
    }
    long countedMs = first();
    sentMs.remove(endpoint);
    if (sentMs.isEmpty()) {
      counter.add(customer, countedMs, -1);
    } else if (first() != countedMs) {
      counter.add(customer, countedMs, -1);
      counter.add(customer, first(), 1);
    }
  }

  private long first() {
    return sentMs.values().iterator().next();
  }
}
