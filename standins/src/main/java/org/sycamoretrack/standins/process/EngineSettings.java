package org.sycamoretrack.standins.process;

import java.net.InetSocketAddress;

/**
 * How an engine behaves. Immutable; times are short so that whole runs take seconds.
 *
 * <p>A {@code tokenTimeUs} of 0 generates as fast as the receivers take the chunks, for benchmarks
 * of the path to the engine.
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

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the name of the model in the weight store. */
  public String model() {
    return model;
  }

  /** Returns where weights are fetched, or null to load without fetching. */
  public InetSocketAddress weightStore() {
    return weightStore;
  }

  /** Returns the version that is served after a start. */
  public int initialVersion() {
    return initialVersion;
  }

  /** Returns whether orders with an old fencing number are refused. */
  public boolean checksFence() {
    return checksFence;
  }

  /** Returns the microseconds for each token of a single stream. */
  public int tokenTimeUs() {
    return tokenTimeUs;
  }

  /** Returns the number of tokens in a chunk. */
  public int tokensPerChunk() {
    return tokensPerChunk;
  }

  /** Returns the batch size that doubles the time for each token. */
  public int batchDoubling() {
    return batchDoubling;
  }

  /** Returns the most streams that run at once. */
  public int maxBatch() {
    return maxBatch;
  }

  /** Returns the most streams that wait; more are refused. */
  public int maxWaiting() {
    return maxWaiting;
  }

  /** Returns the microseconds to process each token of a prompt. */
  public int prefillTimeUs() {
    return prefillTimeUs;
  }

  /** Returns the median length of answers, 0 for answers as long as asked. */
  public int medianTokens() {
    return medianTokens;
  }

  /** Returns the size of the prefix cache in blocks. */
  public int cacheBlocks() {
    return cacheBlocks;
  }

  /** Returns how late load reports and cache events are, in milliseconds. */
  public int reportLagMs() {
    return reportLagMs;
  }

  /** Returns the milliseconds from fetched weights to their use. */
  public int loadTimeMs() {
    return loadTimeMs;
  }

  /** Returns by what the time for each token is multiplied during a load. */
  public double loadSlowdown() {
    return loadSlowdown;
  }

  /** Returns the milliseconds after a poisoned crash until the engine is back. */
  public int restartTimeMs() {
    return restartTimeMs;
  }

  /** Returns the seed of faults that occur with a probability. */
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
     * Sets where weights come from.
     *
     * @param weightStore the weight store; null to load without fetching
     * @return this builder
     */
    public Builder weightStore(InetSocketAddress weightStore) {
      this.weightStore = weightStore;
      return this;
    }

    /**
     * Sets the first version.
     *
     * @param initialVersion what is served after a start
     * @return this builder
     */
    public Builder initialVersion(int initialVersion) {
      this.initialVersion = initialVersion;
      return this;
    }

    /**
     * Sets whether orders with an old fencing number are refused.
     *
     * @param checksFence false to accept them
     * @return this builder
     */
    public Builder checksFence(boolean checksFence) {
      this.checksFence = checksFence;
      return this;
    }

    /**
     * Sets how fast tokens come.
     *
     * @param tokenTimeUs microseconds for each token of a single stream, 0 for no wait
     * @param tokensPerChunk tokens in a chunk, over 0
     * @return this builder
     */
    public Builder tokens(int tokenTimeUs, int tokensPerChunk) {
      this.tokenTimeUs = tokenTimeUs;
      this.tokensPerChunk = tokensPerChunk;
      return this;
    }

    /**
     * Sets how streams share the engine.
     *
     * @param batchDoubling the batch size that doubles the time for each token
     * @param maxBatch most streams that run at once
     * @param maxWaiting most streams that wait
     * @return this builder
     */
    public Builder batch(int batchDoubling, int maxBatch, int maxWaiting) {
      this.batchDoubling = batchDoubling;
      this.maxBatch = maxBatch;
      this.maxWaiting = maxWaiting;
      return this;
    }

    /**
     * Sets the cost of prompts.
     *
     * @param prefillTimeUs microseconds to process each token
     * @param cacheBlocks blocks in the prefix cache
     * @return this builder
     */
    public Builder prefill(int prefillTimeUs, int cacheBlocks) {
      this.prefillTimeUs = prefillTimeUs;
      this.cacheBlocks = cacheBlocks;
      return this;
    }

    /**
     * Sets the length of answers.
     *
     * @param medianTokens the median, 0 for answers as long as asked
     * @return this builder
     */
    public Builder medianTokens(int medianTokens) {
      this.medianTokens = medianTokens;
      return this;
    }

    /**
     * Sets how late reports are.
     *
     * @param reportLagMs milliseconds
     * @return this builder
     */
    public Builder reportLagMs(int reportLagMs) {
      this.reportLagMs = reportLagMs;
      return this;
    }

    /**
     * Sets the cost of a load.
     *
     * @param loadTimeMs milliseconds from fetched weights to their use
     * @param loadSlowdown by what the time for each token is multiplied meanwhile
     * @return this builder
     */
    public Builder load(int loadTimeMs, double loadSlowdown) {
      this.loadTimeMs = loadTimeMs;
      this.loadSlowdown = loadSlowdown;
      return this;
    }

    /**
     * Sets how long a restart takes.
     *
     * @param restartTimeMs milliseconds after a poisoned crash
     * @return this builder
     */
    public Builder restartTimeMs(int restartTimeMs) {
      this.restartTimeMs = restartTimeMs;
      return this;
    }

    /**
     * Sets the seed of faults that occur with a probability.
     *
     * @param seed the seed
     * @return this builder
     */
    public Builder seed(long seed) {
      this.seed = seed;
      return this;
    }

    /** Returns the settings. */
    public EngineSettings build() {
      return new EngineSettings(this);
    }
  }
}
