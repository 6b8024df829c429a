package org.sycamoretrack.bench.process;

/**
 * The cost of an operation of a role.
 *
 * @param role the role
 * @param operation the operation
 * @param size the number of samplers, members or slots that it works on
 * @param micros the time of one operation in microseconds
 * @param perSecond how often a node runs it per second at {@link ReferenceScale}, 0 for other sizes
 * @param megabytes the memory of its state, 0 when not measured
 * @param bytesPerS the bytes per second that a node sends for it at {@link ReferenceScale}
 * @param control whether it belongs to the control plane rather than to traffic
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
