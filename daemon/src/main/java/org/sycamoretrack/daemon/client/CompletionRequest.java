package org.sycamoretrack.daemon.client;

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
   * @param requestId identifies the stream; unique for each attempt
   * @return a builder
   */
  public static Builder builder(String requestId) {
    return new Builder(requestId);
  }

  /** Returns the id of the request, which identifies the stream. */
  public String requestId() {
    return requestId;
  }

  public String model() {
    return model;
  }

  public String prompt() {
    return prompt;
  }

  /**
   * Returns the maximum number of tokens of the whole completion, including {@link
   * #continueTokens}.
   */
  public int maxTokens() {
    return maxTokens;
  }

  /** Returns the random seed for sampling. */
  public long seed() {
    return seed;
  }

  /** Returns the text generated so far, empty for a new stream. */
  public String continueText() {
    return continueText;
  }

  /** Returns the number of tokens generated so far, 0 for a new stream. */
  public int continueTokens() {
    return continueTokens;
  }

  /** Returns the timeout for the whole stream, in milliseconds. */
  public int timeoutMs() {
    return timeoutMs;
  }

  /** Returns the timeout without a received byte, in milliseconds; 0 for no limit. */
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
     * Sets the maximum number of tokens of the whole completion.
     *
     * @param maxTokens greater than 0
     * @return this builder
     */
    public Builder maxTokens(int maxTokens) {
      this.maxTokens = maxTokens;
      return this;
    }

    /**
     * Sets the random seed for sampling.
     *
     * @param seed any value
     * @return this builder
     */
    public Builder seed(long seed) {
      this.seed = seed;
      return this;
    }

    /**
     * Continues an earlier completion; the engine sends only the tokens that follow.
     *
     * @param text the text generated so far
     * @param tokens the number of tokens of the text
     * @return this builder
     */
    public Builder continueFrom(String text, int tokens) {
      this.continueText = Objects.requireNonNull(text, "text");
      this.continueTokens = tokens;
      return this;
    }

    /**
     * Sets the timeout for the whole stream.
     *
     * @param timeoutMs milliseconds, greater than 0
     * @return this builder
     */
    public Builder timeoutMs(int timeoutMs) {
      this.timeoutMs = timeoutMs;
      return this;
    }

    /**
     * Sets the longest time without a received byte after which the stream fails.
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
