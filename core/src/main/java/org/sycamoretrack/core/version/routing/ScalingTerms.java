package org.sycamoretrack.core.version.routing;

import java.util.Map;

/**
 * The terms on which the number of endpoints of a service can be changed. Immutable.
 *
 * @param min the minimum number of endpoints of the service in each zone
 * @param max the maximum number of endpoints of the service in each zone
 * @param bootMs the time from an order to the moment when a new endpoint serves, in milliseconds
 * @param spotPrice the price of a spot endpoint relative to an on-demand one, 0 to 1
 * @param zonePrices the relative price of an on-demand endpoint by zone; the zones in which
 *     endpoints can be ordered
 */
public record ScalingTerms(
    int min, int max, long bootMs, double spotPrice, Map<String, Double> zonePrices) {
  /** Copies the prices and checks the values. */
  public ScalingTerms {
    zonePrices = Map.copyOf(zonePrices);
    if (min < 0 || max < min || bootMs < 0 || !(spotPrice >= 0)) {
      throw new IllegalArgumentException(
          "scaling must have 0 <= min <= max, boot time and spot price of 0 or more");
    }
  }
}
