package org.sycamoretrack.bench.process;

/** The deployment size for which capacity is calculated. */
public final class ReferenceScale {
  /** Nodes of the system. */
  public static final int NODES = 350;

  /** Endpoints that the nodes serve. */
  public static final int SAMPLERS = 4_200;

  /** Availability zones. */
  public static final int ZONES = 4;

  /** Peak requests per second. */
  public static final double REQUESTS_PER_S = 4_300;

  /** Peak tokens per second. */
  public static final double TOKENS_PER_S = 2_000_000;

  /** Trainers, each with one open step. */
  public static final int TRAINERS = 23;

  /** Samples of a step. */
  public static final int SLOTS = 8_192;

  /** Interval between new weight versions, and between steps. */
  public static final double STEP_S = 13 * 60;

  /** Configuration changes per day. */
  public static final double CHANGES_PER_DAY = 23_000;

  /** Failed and replaced hosts per day. */
  public static final double MEMBER_EVENTS_PER_DAY = 46 + 440;

  /** Seconds per day. */
  public static final double S_PER_DAY = 86_400;

  private ReferenceScale() {}

  /** Returns the samples per second of all trainers. */
  public static double samplesPerS() {
    return TRAINERS * SLOTS / STEP_S;
  }
}
