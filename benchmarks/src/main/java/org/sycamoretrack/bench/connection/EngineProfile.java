package org.sycamoretrack.bench.connection;

/**
 * The speed of a simulated engine.
 *
 * @param baseStepMs the time of a decoding step without requests
 * @param stepMsPerRequest the time that each request in the batch adds to a step
 * @param prefillMsPerToken the time that each prompt token processed adds to a step
 * @param maxBatch the maximum number of requests in the batch; others wait inside the engine
 * @param maxPrefillTokensPerStep the maximum number of prompt tokens processed per step
 * @param cachedPrefixes the number of prompt prefixes that the cache holds
 */
public record EngineProfile(
    double baseStepMs,
    double stepMsPerRequest,
    double prefillMsPerToken,
    int maxBatch,
    int maxPrefillTokensPerStep,
    int cachedPrefixes) {
  /** A typical engine. */
  public static final EngineProfile DEFAULT = new EngineProfile(20, 0.2, 0.05, 256, 512, 40);

  /**
   * Returns the throughput of a batch in tokens per second.
   *
   * @param batch the size of the batch
   */
  public double tokensPerSecond(int batch) {
    return 1_000.0 * batch / (baseStepMs + stepMsPerRequest * batch);
  }
}
