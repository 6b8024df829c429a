package org.sycamoretrack.standins.process;

import java.net.InetSocketAddress;

/**
 * Settings of an {@link EngineStandin}. Immutable. The default times are short, so that complete
 * runs take seconds.
 *
 * <p>With a {@code tokenTimeUs} of 0 the engine generates as fast as clients read the chunks, which
 * benchmarks of the request path use.
 */
public final class EngineSettings {
  private final String model;
  private final InetSocketAddress weightStore;
  private final int initialVersion;
  private final boolean checksFence;
  private final int tokenTimeUs;
  private final int tokensPerChunk;
  private final int batchDoubling;
  private final int maxBatch;
  private final int maxWaiting;
  private final int prefillTimeUs;
  private final int medianTokens;
  private final int cacheBlocks;
  private final int reportLagMs;
  private final int loadTimeMs;
  private final double loadSlowdown;
  private final int restartTimeMs;
  private final long seed;

  private EngineSettings(Builder builder) {
    this.model = builder.model;
    this.weightStore = builder.weightStore;
    this.initialVersion = builder.initialVersion;
    this.checksFence = builder.checksFence;
    this.tokenTimeUs = builder.tokenTimeUs;
    this.tokensPerChunk = builder.tokensPerChunk;
    this.batchDoubling = builder.batchDoubling;
    this.maxBatch = builder.maxBatch;
    this.maxWaiting = builder.maxWaiting;
    this.prefillTimeUs = builder.prefillTimeUs;
    this.medianTokens = builder.medianTokens;
    this.cacheBlocks = builder.cacheBlocks;
    this.reportLagMs = builder.reportLagMs;
    this.loadTimeMs = builder.loadTimeMs;
    this.loadSlowdown = builder.loadSlowdown;
    this.restartTimeMs = builder.restartTimeMs;
    this.seed = builder.seed;
  }

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the name of the model in the weight store. */
  public String model() {
    return model;
  }

  /** Returns the address of the weight store, or null to load without fetching. */
  public InetSocketAddress weightStore() {
    return weightStore;
  }

  /** Returns the weight version served after a start. */
  public int initialVersion() {
    return initialVersion;
  }

  /** Returns whether load commands with a stale fencing token are rejected. */
  public boolean checksFence() {
    return checksFence;
  }

  /** Returns the microseconds per token of a single stream. */
  public int tokenTimeUs() {
    return tokenTimeUs;
  }

  /** Returns the number of tokens in a chunk. */
  public int tokensPerChunk() {
    return tokensPerChunk;
  }

  /** Returns the batch size that doubles the time per token. */
  public int batchDoubling() {
    return batchDoubling;
  }

  /** Returns the maximum number of running streams. */
  public int maxBatch() {
    return maxBatch;
  }

  /** Returns the maximum number of waiting streams; further requests are rejected. */
  public int maxWaiting() {
    return maxWaiting;
  }

  /** Returns the prefill time per token of a prompt, in microseconds. */
  public int prefillTimeUs() {
    return prefillTimeUs;
  }

  /** Returns the median length of completions in tokens; 0 if each has {@code max_tokens}. */
  public int medianTokens() {
    return medianTokens;
  }

  /** Returns the capacity of the prefix cache in blocks. */
  public int cacheBlocks() {
    return cacheBlocks;
  }

  /** Returns the delay of load reports and cache events, in milliseconds. */
  public int reportLagMs() {
    return reportLagMs;
  }

  /** Returns the time to load weights after the fetch, in milliseconds. */
  public int loadTimeMs() {
    return loadTimeMs;
  }

  /** Returns the factor by which a load of weights increases the time per token. */
  public double loadSlowdown() {
    return loadSlowdown;
  }

  /** Returns the downtime after a crash on a poison prompt, in milliseconds. */
  public int restartTimeMs() {
    return restartTimeMs;
  }

  /** Returns the random seed for faults that occur with a probability. */
  public long seed() {
    return seed;
  }

  /** Builds {@link EngineSettings}. */
  public static final class Builder {
    private String model = "model";
    private InetSocketAddress weightStore;
    private int initialVersion = 1;
    private boolean checksFence = true;
    private int tokenTimeUs = 2_000;
    private int tokensPerChunk = 8;
    private int batchDoubling = 32;
    private int maxBatch = 64;
    private int maxWaiting = 10_000;
    private int prefillTimeUs = 200;
    private int medianTokens = 64;
    private int cacheBlocks = 4_096;
    private int reportLagMs = 500;
    private int loadTimeMs = 300;
    private double loadSlowdown = 2;
    private int restartTimeMs = 1_000;
    private long seed;

    private Builder() {}

    /**
     * Sets the model.
     *
     * @param model its name in the weight store
     * @return this builder
     */
    public Builder model(String model) {
      this.model = model;
      return this;
    }

    /**
     * Sets the weight store.
     *
     * @param weightStore its address; null to load without fetching
     * @return this builder
     */
    public Builder weightStore(InetSocketAddress weightStore) {
      this.weightStore = weightStore;
      return this;
    }

    /**
     * Sets the initial weight version.
     *
     * @param initialVersion the version served after a start
     * @return this builder
     */
    public Builder initialVersion(int initialVersion) {
      this.initialVersion = initialVersion;
      return this;
    }

    /**
     * Sets whether load commands with a stale fencing token are rejected.
     *
     * @param checksFence false to accept them
     * @return this builder
     */
    public Builder checksFence(boolean checksFence) {
      this.checksFence = checksFence;
      return this;
    }

    /**
     * Sets the generation speed.
     *
     * @param tokenTimeUs microseconds per token of a single stream; 0 for no delay
     * @param tokensPerChunk tokens per chunk, greater than 0
     * @return this builder
     */
    public Builder tokens(int tokenTimeUs, int tokensPerChunk) {
      this.tokenTimeUs = tokenTimeUs;
      this.tokensPerChunk = tokensPerChunk;
      return this;
    }

    /**
     * Sets the batching parameters.
     *
     * @param batchDoubling the batch size that doubles the time per token
     * @param maxBatch maximum number of running streams
     * @param maxWaiting maximum number of waiting streams
     * @return this builder
     */
    public Builder batch(int batchDoubling, int maxBatch, int maxWaiting) {
      this.batchDoubling = batchDoubling;
      this.maxBatch = maxBatch;
      this.maxWaiting = maxWaiting;
      return this;
    }

    /**
     * Sets the prefill parameters.
     *
     * @param prefillTimeUs microseconds per token of a prompt
     * @param cacheBlocks capacity of the prefix cache in blocks
     * @return this builder
     */
    public Builder prefill(int prefillTimeUs, int cacheBlocks) {
      this.prefillTimeUs = prefillTimeUs;
      this.cacheBlocks = cacheBlocks;
      return this;
    }

    /**
     * Sets the length of completions.
     *
     * @param medianTokens the median in tokens; 0 to always generate {@code max_tokens}
     * @return this builder
     */
    public Builder medianTokens(int medianTokens) {
      this.medianTokens = medianTokens;
      return this;
    }

    /**
     * Sets the delay of load reports and cache events.
     *
     * @param reportLagMs milliseconds
     * @return this builder
     */
    public Builder reportLagMs(int reportLagMs) {
      this.reportLagMs = reportLagMs;
      return this;
    }

    /**
     * Sets the duration and the cost of a load of weights.
     *
     * @param loadTimeMs time to load weights after the fetch, in milliseconds
     * @param loadSlowdown factor by which the time per token increases during a load
     * @return this builder
     */
    public Builder load(int loadTimeMs, double loadSlowdown) {
      this.loadTimeMs = loadTimeMs;
      this.loadSlowdown = loadSlowdown;
      return this;
    }

    /**
     * Sets the downtime after a crash on a poison prompt.
     *
     * @param restartTimeMs milliseconds
     * @return this builder
     */
    public Builder restartTimeMs(int restartTimeMs) {
      this.restartTimeMs = restartTimeMs;
      return this;
    }

    /**
     * Sets the random seed for faults that occur with a probability.
     *
     * @param seed the seed
     * @return this builder
     */
    public Builder seed(long seed) {
      this.seed = seed;
      return this;
    }

    /** Builds the settings. */
    public EngineSettings build() {
      return new EngineSettings(this);
    }
  }
}
