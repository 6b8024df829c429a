package org.sycamoretrack.bench.process;

/**
 * What an operation of a role costs.
 *
 * @param role the role
 * @param operation the operation
 * @param size the number of samplers, members or slots that it works on
 * @param micros its time
 * @param perSecond how often a node does it at the letter's size, 0 for other sizes
 * @param megabytes the memory that its state takes, 0 when not measured
 * @param bytesPerS what a node sends for it, at the letter's size
 * @param control whether it is control work rather than traffic
 */
record RoleCost(
    String role,
    String operation,
    int size,
    double micros,
    double perSecond,
    double megabytes,
    double bytesPerS,
    boolean control) {
  private static final double US_PER_S = 1e6;

  double cpuShare() {
    return micros * perSecond / US_PER_S;
  }

  boolean isAtReferenceScale() {
    return perSecond > 0;
  }
}
