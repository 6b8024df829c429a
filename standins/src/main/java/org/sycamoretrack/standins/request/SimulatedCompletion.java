package org.sycamoretrack.standins.request;

/**
 * The simulated output of a model, a pure function of prompt and seed.
 *
 * <p>Lengths have a log-normal distribution, so that a few completions are many times longer than
 * the others: with a median of 64 tokens, one completion in a hundred is longer than about 410. A
 * token is a word such as {@code " t917"}. Any range of tokens can be generated independently of
 * the preceding ones, so that a completion continued by another engine equals the uninterrupted
 * one.
 */
public final class SimulatedCompletion {
  private static final double SIGMA = 0.8;
  private static final int VOCABULARY = 1_000;
  private static final long GOLDEN_GAMMA = 0x9E37_79B9_7F4A_7C15L;
  private static final double UNIT = 0x1.0p-53;

  private final long hash;
  private final int naturalTokens;

  /**
   * Creates the output for a prompt and a seed.
   *
   * @param prompt the prompt
   * @param seed the sampling seed
   * @param medianTokens the median length in tokens; 0 for unlimited length
   */
  public SimulatedCompletion(String prompt, long seed, int medianTokens) {
    this.hash = mix(hash(prompt) ^ mix(seed));
    this.naturalTokens = medianTokens == 0 ? Integer.MAX_VALUE : naturalTokens(medianTokens);
  }

  private int naturalTokens(int medianTokens) {
    double u1 = ((mix(hash + 1) >>> 11) + 1) * UNIT;
    double u2 = (mix(hash + 2) >>> 11) * UNIT;
    double normal = Math.sqrt(-2 * Math.log(u1)) * Math.cos(2 * Math.PI * u2);
    return (int) Math.max(1, Math.round(medianTokens * Math.exp(SIGMA * normal)));
  }

  /** Returns the length of the output in tokens if {@code max_tokens} does not limit it. */
  public int naturalTokens() {
    return naturalTokens;
  }

  /**
   * Appends the text of a range of tokens.
   *
   * @param fromToken index of the first token, inclusive
   * @param toToken index of the end, exclusive
   * @param target receives the text
   */
  public void append(int fromToken, int toToken, StringBuilder target) {
    for (int i = fromToken; i < toToken; i++) {
      long token = (mix(hash + i * GOLDEN_GAMMA) >>> 1) % VOCABULARY;
      target.append(" t").append(token);
    }
  }

  /**
   * Returns the text of the first tokens.
   *
   * @param tokens the number of tokens
   */
  public String text(int tokens) {
    StringBuilder text = new StringBuilder();
    append(0, tokens, text);
    return text.toString();
  }

  private static long hash(String text) {
    long hash = GOLDEN_GAMMA;
    for (int i = 0; i < text.length(); i++) {
      hash = mix(hash ^ text.charAt(i));
    }
    return hash;
  }

  /** Mixes the bits of a number, with the finalizer of SplitMix64. */
  static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58_476D_1CE4_E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D0_49BB_1331_11EBL;
    return mixed ^ (mixed >>> 31);
  }
}
