package org.sycamoretrack.bench.connection;

/**
 * How fast a modelled engine is.
 *
 * @param baseStepMs a decoding step with an empty batch
 * @param stepMsPerRequest what each request in the batch adds to a step
 * @param prefillMsPerToken what each prompt token that is read adds to a step
 * @param maxBatch the most requests in the batch; others wait inside the engine
 * @param maxPrefillTokensPerStep the most prompt tokens read in a step
 * @param cachedPrefixes how many prompt prefixes the cache holds
 */
public record EngineProfile(
    double baseStepMs,
    double stepMsPerRequest,
    double prefillMsPerToken,
    int maxBatch,
    int maxPrefillTokensPerStep,
    int cachedPrefixes) {
  /** An engine of today's size. */
  public static final EngineProfile DEFAULT = new EngineProfile(20, 0.2, 0.05, 256, 512, 40);

  /**
   * Returns the tokens a second that a batch makes.
   *
   * @param batch the size of the batch
   */
  public double tokensPerSecond(int batch) {
    return 1_000.0 * batch / (baseStepMs + stepMsPerRequest * batch);
  }
}
