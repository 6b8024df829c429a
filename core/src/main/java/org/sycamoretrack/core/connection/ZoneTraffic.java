package org.sycamoretrack.core.connection;

/**
 * The terms of traffic between availability zones. Immutable.
 *
 * @param pricePerGb the price of 1e9 bytes between zones, in any currency; 0 or more
 * @param valuePerSecond the value of a response that comes one second earlier, in the same
 *     currency; above 0
 */
public record ZoneTraffic(double pricePerGb, double valuePerSecond) {
  private static final double BYTES_PER_GB = 1e9;
  private static final double MS_PER_SECOND = 1_000;

  /**
   * Validates the terms.
   *
   * @throws IllegalArgumentException if the price is negative, or the value isn't above 0
   */
  public ZoneTraffic {
    if (!(pricePerGb >= 0) || Double.isInfinite(pricePerGb)) {
      throw new IllegalArgumentException("pricePerGb: must be a number of 0 or more");
    }
    if (!(valuePerSecond > 0) || Double.isInfinite(valuePerSecond)) {
      throw new IllegalArgumentException("valuePerSecond: must be a number greater than 0");
    }
  }

  /**
   * Returns the time whose value equals the price of transferring data to another zone.
   *
   * @param bytes the size of the data
   * @return the time in milliseconds
   */
  public double priceMs(long bytes) {
    return bytes * pricePerGb / BYTES_PER_GB / valuePerSecond * MS_PER_SECOND;
  }
}
