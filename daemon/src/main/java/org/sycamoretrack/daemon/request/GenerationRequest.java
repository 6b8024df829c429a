package org.sycamoretrack.daemon.request;

import java.util.List;
import java.util.Objects;
import org.sycamoretrack.core.request.RequestClass;

/** The prompt and parameters of a generation request. Immutable. */
public final class GenerationRequest {
  private final String id;
  private final List<String> pools;
  private final String prompt;
  private final int maxTokens;
  private final long seed;
  private final RequestClass requestClass;
  private final String flow;
  private final long deadlineNanos;
  private final long oldestVersion;
  private final String priorText;
  private final int priorTokens;
  private final boolean repeatable;

  private GenerationRequest(Builder builder) {
    this.id = Objects.requireNonNull(builder.id, "id");
    this.pools = List.copyOf(builder.pools);
    this.prompt = Objects.requireNonNull(builder.prompt, "prompt");
    this.maxTokens = builder.maxTokens;
    this.seed = builder.seed;
    this.requestClass = builder.requestClass;
    this.flow = builder.flow;
    this.deadlineNanos = builder.deadlineNanos;
    this.oldestVersion = builder.oldestVersion;
    this.priorText = builder.priorText;
    this.priorTokens = builder.priorTokens;
    this.repeatable = builder.repeatable;
  }

  /**
   * Starts a request.
   *
   * @param id identifies the request in logs and at endpoints
   * @return a builder
   */
  public static Builder builder(String id) {
    return new Builder(id);
  }

  /** Returns a builder with the values of this request. */
  public Builder toBuilder() {
    return new Builder(id)
        .pools(pools)
        .prompt(prompt)
        .maxTokens(maxTokens)
        .seed(seed)
        .requestClass(requestClass)
        .flow(flow)
        .deadlineNanos(deadlineNanos)
        .oldestVersion(oldestVersion)
        .prior(priorText, priorTokens)
        .repeatable(repeatable);
  }

  public String id() {
    return id;
  }

  /** Returns the pools whose endpoints may serve the request. */
  public List<String> pools() {
    return pools;
  }

  public String prompt() {
    return prompt;
  }

  /** Returns the maximum number of tokens of the complete output, earlier attempts included. */
  public int maxTokens() {
    return maxTokens;
  }

  /** Returns the sampling seed. */
  public long seed() {
    return seed;
  }

  /** Returns the class, which determines the request's priority in queues. */
  public RequestClass requestClass() {
    return requestClass;
  }

  /** Returns the track or customer of the request; endpoints are shared fairly among them. */
  public String flow() {
    return flow;
  }

  /** Returns the deadline by the monotonic clock of this process, see {@link System#nanoTime()}. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns the oldest weight version that may generate tokens of the output. */
  public long oldestVersion() {
    return oldestVersion;
  }

  /** Returns the text that was generated so far. */
  public String priorText() {
    return priorText;
  }

  /** Returns the number of tokens that were generated so far. */
  public int priorTokens() {
    return priorTokens;
  }

  /** Returns whether the request may be retried after it may have run. */
  public boolean repeatable() {
    return repeatable;
  }

  /**
   * Returns the fingerprint by which the poison request detector recognizes requests with the same
   * prompt.
   */
  public String fingerprint() {
    return Integer.toHexString(prompt.hashCode()) + '-' + prompt.length();
  }

  /** Builds a {@link GenerationRequest}. */
  public static final class Builder {
    private static final int DEFAULT_MAX_TOKENS = 256;

    private final String id;
    private List<String> pools = List.of();
    private String prompt;
    private int maxTokens = DEFAULT_MAX_TOKENS;
    private long seed;
    private RequestClass requestClass = RequestClass.INTERACTIVE;
    private String flow = "";
    private long deadlineNanos;
    private long oldestVersion;
    private String priorText = "";
    private int priorTokens;
    private boolean repeatable = true;

    private Builder(String id) {
      this.id = id;
    }

    /**
     * Sets the pools.
     *
     * @param pools names of pools
     * @return this builder
     */
    public Builder pools(List<String> pools) {
      this.pools = pools;
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
     * Sets the maximum number of tokens.
     *
     * @param maxTokens at least 1
     * @return this builder
     */
    public Builder maxTokens(int maxTokens) {
      this.maxTokens = maxTokens;
      return this;
    }

    /**
     * Sets the sampling seed.
     *
     * @param seed any number
     * @return this builder
     */
    public Builder seed(long seed) {
      this.seed = seed;
      return this;
    }

    /**
     * Sets the class.
     *
     * @param requestClass the class
     * @return this builder
     */
    public Builder requestClass(RequestClass requestClass) {
      this.requestClass = requestClass;
      return this;
    }

    /**
     * Sets the track or customer.
     *
     * @param flow the name
     * @return this builder
     */
    public Builder flow(String flow) {
      this.flow = flow;
      return this;
    }

    /**
     * Sets the deadline.
     *
     * @param deadlineNanos by {@link System#nanoTime()}
     * @return this builder
     */
    public Builder deadlineNanos(long deadlineNanos) {
      this.deadlineNanos = deadlineNanos;
      return this;
    }

    /**
     * Sets the oldest weight version.
     *
     * @param oldestVersion the version
     * @return this builder
     */
    public Builder oldestVersion(long oldestVersion) {
      this.oldestVersion = oldestVersion;
      return this;
    }

    /**
     * Sets the output that was generated so far.
     *
     * @param text the text
     * @param tokens the number of tokens in the text
     * @return this builder
     */
    public Builder prior(String text, int tokens) {
      this.priorText = text;
      this.priorTokens = tokens;
      return this;
    }

    /**
     * Sets whether the request may be retried after it may have run.
     *
     * @param repeatable false for at most one run
     * @return this builder
     */
    public Builder repeatable(boolean repeatable) {
      this.repeatable = repeatable;
      return this;
    }

    public GenerationRequest build() {
      return new GenerationRequest(this);
    }
  }
}
