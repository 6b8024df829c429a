package org.sycamoretrack.bench.process;

/** The size for which capacity is worked out. */
public final class ReferenceScale {
  /** Nodes of the system. */
  public static final int NODES = 350;

  /** Endpoints that the nodes look after. */
  public static final int SAMPLERS = 4_200;

  /** Availability zones. */
  public static final int ZONES = 4;

  /** Requests a second at the peak. */
  public static final double REQUESTS_PER_S = 4_300;

  /** Tokens a second at the peak. */
  public static final double TOKENS_PER_S = 2_000_000;

  /** Trainers, each with one step open. */
  public static final int TRAINERS = 23;

  /** Samples of a step. */
  public static final int SLOTS = 8_192;

  /** Time between new weights, and between steps. */
  public static final double STEP_S = 13 * 60;

  /** Changes of the configuration a day. */
  public static final double CHANGES_PER_DAY = 23_000;

  /** Failed hosts a day and replaced hosts a day. */
  public static final double MEMBER_EVENTS_PER_DAY = 46 + 440;

  /** Seconds of a day. */
  public static final double S_PER_DAY = 86_400;

  private ReferenceScale() {}

  /** Returns the samples a second of all trainers. */
  public static double samplesPerS() {
    return TRAINERS * SLOTS / STEP_S;
  }
}
