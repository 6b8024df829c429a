package org.sycamoretrack.bench.request;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.sycamoretrack.bench.connection.VirtualTime;
import org.sycamoretrack.core.request.QueueFlow;
import org.sycamoretrack.core.request.RequestClass;

/**
 * Generates random requests: short calls with random arrival times, and long samples.
 *
 * <p>The length of a sample is log-normal, truncated at {@link #MAX_SAMPLE_TOKENS}; it depends only
 * on the seed of the step and the slot.
 */
public final class Workload {
  /** The maximum number of tokens of a sample. */
  public static final int MAX_SAMPLE_TOKENS = 4_096;

  /** The mean length of a sample that the policies assume. */
  public static final int MEAN_SAMPLE_TOKENS = 550;

  /** The mean length of a short call that the policies assume. */
  public static final int MEAN_SHORT_TOKENS = 32;

  private static final double SAMPLE_LOG_MEAN = Math.log(400);
  private static final double SAMPLE_LOG_DEVIATION = 0.8;
  private static final int PROMPT_TOKENS = 200;
  private static final int CUSTOMERS = 5;
  private static final int SHORT_MIN_TOKENS = 16;
  private static final int SHORT_MAX_TOKENS = 48;
  private static final int SAMPLES_PER_GROUP = 16;
  private static final double MS_PER_S = 1_000;

  private Workload() {}

  /**
   * Returns the length of a sample.
   *
   * @param stepSeed the seed of its step
   * @param slot its slot
   * @return tokens, from 1 to {@link #MAX_SAMPLE_TOKENS}
   */
  public static int sampleTokens(long stepSeed, int slot) {
    return drawTokens(new SplittableRandom(stepSeed * 1_000_003 + slot));
  }

  /**
   * Draws a new length for a sample that already has some tokens.
   *
   * @param random the random number generator
   * @param generatedTokens the number of tokens that the sample has
   * @return a length greater than {@code generatedTokens}
   */
  public static int redrawTokens(RandomGenerator random, int generatedTokens) {
    int tokens = drawTokens(random);
    while (tokens <= generatedTokens) {
      tokens = drawTokens(random);
    }
    return tokens;
  }

  /**
   * Draws the length of a sample.
   *
   * @param random the random number generator
   */
  public static int drawTokens(RandomGenerator random) {
    double length = Math.exp(SAMPLE_LOG_MEAN + SAMPLE_LOG_DEVIATION * random.nextGaussian());
    return (int) Math.max(1, Math.min(MAX_SAMPLE_TOKENS, length));
  }

  /**
   * Returns a sample.
   *
   * @param stepSeed the seed of its step
   * @param slot its slot
   * @param track its track
   * @param nowMs the current time
   */
  public static SimulatedRequest sample(long stepSeed, int slot, QueueFlow track, double nowMs) {
    long prefixHash = stepSeed * 8_191 + slot / SAMPLES_PER_GROUP + 1;
    int tokens = sampleTokens(stepSeed, slot);
    return new SimulatedRequest(
        slot, RequestClass.ROLLOUT, track, PROMPT_TOKENS, prefixHash, tokens, nowMs);
  }

  /**
   * Schedules short calls with exponentially distributed gaps until the end of the run.
   *
   * @param time the clock
   * @param random the random number generator
   * @param perSecond the mean arrival rate
   * @param prefixes the number of shared prompts, 0 for none
   * @param onArrival receives each call
   */
  public static void scheduleShortCalls(
      VirtualTime time,
      RandomGenerator random,
      double perSecond,
      int prefixes,
      Consumer<SimulatedRequest> onArrival) {
    time.after(
        random.nextExponential() * MS_PER_S / perSecond,
        () -> {
          onArrival.accept(shortCall(random, prefixes, time.nowMs()));
          scheduleShortCalls(time, random, perSecond, prefixes, onArrival);
        });
  }

  private static SimulatedRequest shortCall(RandomGenerator random, int prefixes, double nowMs) {
    int tokens = random.nextInt(SHORT_MIN_TOKENS, SHORT_MAX_TOKENS + 1);
    QueueFlow customer = QueueFlow.of("customer-" + random.nextInt(CUSTOMERS));
    int id = random.nextInt(1 << 20);
    // The product of two uniform values makes some prompts much more frequent than others.
    double popularity = random.nextDouble() * random.nextDouble();
    long prefixHash = prefixes == 0 ? 0 : 1 + (long) (prefixes * popularity);
    return new SimulatedRequest(
        id, RequestClass.INTERACTIVE, customer, PROMPT_TOKENS, prefixHash, tokens, nowMs);
  }
}
