package org.sycamoretrack.standins.request;

/**
 * What a model generates for a prompt and a seed: a function of these two and nothing else.
 *
 * <p>Lengths are log-normal, so that some answers are many times longer than most. With a median of
 * 64 tokens one answer in a hundred is longer than about 410. Token {@code i} is a word such as
 * {@code " t917"}; any part of an answer can be made without the parts before it, so that an answer
 * that is continued elsewhere equals the unbroken one.
 */
public final class Generation {
  private static final double SIGMA = 0.8;
  private static final int VOCABULARY = 1_000;
  private static final long GOLDEN_GAMMA = 0x9E37_79B9_7F4A_7C15L;
  private static final double UNIT = 0x1.0p-53;

  private final long hash;
  private final int naturalTokens;

  /**
   * Creates a generation.
   *
   * @param prompt the prompt
   * @param seed the seed of sampling
   * @param medianTokens the median of lengths; 0 for answers that never stop by themselves
   */
  public Generation(String prompt, long seed, int medianTokens) {
    this.hash = mix(hash(prompt) ^ mix(seed));
    this.naturalTokens = medianTokens == 0 ? Integer.MAX_VALUE : naturalTokens(medianTokens);
  }

  private int naturalTokens(int medianTokens) {
    double u1 = ((mix(hash + 1) >>> 11) + 1) * UNIT;
    double u2 = (mix(hash + 2) >>> 11) * UNIT;
    double normal = Math.sqrt(-2 * Math.log(u1)) * Math.cos(2 * Math.PI * u2);
    return (int) Math.max(1, Math.round(medianTokens * Math.exp(SIGMA * normal)));
  }

  /** Returns the number of tokens after which the answer stops by itself. */
  public int naturalTokens() {
    return naturalTokens;
  }

  /**
   * Appends the text of a range of tokens.
   *
   * @param fromToken the first, from 0
   * @param toToken the end, exclusive
   * @param target where the text goes
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
   * @param tokens their number
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

  /** Returns a well mixed function of a number. */
  static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58_476D_1CE4_E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D0_49BB_1331_11EBL;
    return mixed ^ (mixed >>> 31);
  }
}
