package org.sycamoretrack.daemon.farend;

import java.util.Objects;

/** A request to an engine to generate tokens. Immutable. */
public final class CompletionRequest {
  private static final int DEFAULT_MAX_TOKENS = 256;
  private static final int DEFAULT_TIMEOUT_MS = 60_000;
  private static final int DEFAULT_IDLE_TIMEOUT_MS = 10_000;

  private final String requestId;
  private final String model;
  private final String prompt;
  private final int maxTokens;
  private final long seed;
  private final String continueText;
  private final int continueTokens;
  private final int timeoutMs;
  private final int idleTimeoutMs;

  private CompletionRequest(Builder builder) {
    this.requestId = Objects.requireNonNull(builder.requestId, "requestId");
    this.model = Objects.requireNonNull(builder.model, "model");
    this.prompt = Objects.requireNonNull(builder.prompt, "prompt");
    this.maxTokens = builder.maxTokens;
    this.seed = builder.seed;
    this.continueText = builder.continueText;
    this.continueTokens = builder.continueTokens;
    this.timeoutMs = builder.timeoutMs;
    this.idleTimeoutMs = builder.idleTimeoutMs;
  }

  /**
   * Starts a request.
   *
   * @param requestId names the stream; each attempt has its own
   * @return a builder
   */
  public static Builder builder(String requestId) {
    return new Builder(requestId);
  }

  /** Returns the name of the stream. */
  public String requestId() {
    return requestId;
  }

  /** Returns the model's name. */
  public String model() {
    return model;
  }

  /** Returns the prompt. */
  public String prompt() {
    return prompt;
  }

  /** Returns the most tokens of the whole answer, those of {@link #continueTokens} included. */
  public int maxTokens() {
    return maxTokens;
  }

  /** Returns the seed of sampling. */
  public long seed() {
    return seed;
  }

  /** Returns the text made so far, empty for a new stream. */
  public String continueText() {
    return continueText;
  }

  /** Returns the number of tokens made so far, 0 for a new stream. */
  public int continueTokens() {
    return continueTokens;
  }

  /** Returns the time in milliseconds within which the stream must have ended. */
  public int timeoutMs() {
    return timeoutMs;
  }

  /** Returns the longest time in milliseconds without a byte of the stream; 0 for no limit. */
  public int idleTimeoutMs() {
    return idleTimeoutMs;
  }

  /** Builds a {@link CompletionRequest}. */
  public static final class Builder {
    private final String requestId;
    private String model;
    private String prompt;
    private int maxTokens = DEFAULT_MAX_TOKENS;
    private long seed;
    private String continueText = "";
    private int continueTokens;
    private int timeoutMs = DEFAULT_TIMEOUT_MS;
    private int idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;

    private Builder(String requestId) {
      this.requestId = requestId;
    }

    /**
     * Sets the model.
     *
     * @param model its name
     * @return this builder
     */
    public Builder model(String model) {
      this.model = model;
      return this;
    }

    /**
     * Sets the prompt.
     *
     * @param prompt the text
     * @return this builder
     */
    public Builder prompt(String prompt) {
      this.prompt = prompt;
      return this;
    }

    /**
     * Sets the most tokens of the whole answer.
     *
     * @param maxTokens over 0
     * @return this builder
     */
    public Builder maxTokens(int maxTokens) {
      this.maxTokens = maxTokens;
      return this;
    }

    /**
     * Sets the seed of sampling.
     *
     * @param seed any number
     * @return this builder
     */
    public Builder seed(long seed) {
      this.seed = seed;
      return this;
    }

    /**
     * Resumes a stream from what was generated so far; the engine sends only what follows.
     *
     * @param text the text so far
     * @param tokens the number of its tokens
     * @return this builder
     */
    public Builder continueFrom(String text, int tokens) {
      this.continueText = Objects.requireNonNull(text, "text");
      this.continueTokens = tokens;
      return this;
    }

    /**
     * Sets the time within which the stream must have ended.
     *
     * @param timeoutMs milliseconds, over 0
     * @return this builder
     */
    public Builder timeoutMs(int timeoutMs) {
      this.timeoutMs = timeoutMs;
      return this;
    }

    /**
     * Sets the longest time without a byte of the stream.
     *
     * @param idleTimeoutMs milliseconds, 0 for no limit
     * @return this builder
     */
    public Builder idleTimeoutMs(int idleTimeoutMs) {
      this.idleTimeoutMs = idleTimeoutMs;
      return this;
    }

    /** Returns the request. */
    public CompletionRequest build() {
      return new CompletionRequest(this);
    }
  }
}
