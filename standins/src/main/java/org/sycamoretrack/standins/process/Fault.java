package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * A fault to inject: its kind, the requests that it affects, and its duration. Immutable.
 *
 * <p>In JSON, only {@code kind} is required: {@code {"kind": "slow", "path": "/transactions",
 * "method": "POST", "delayMs": 500, "times": 3, "durationMs": 10000, "share": 0.5}} delays half of
 * the transactions during the next ten seconds, at most three of them.
 */
public final class Fault {
  private static final int DEFAULT_DELAY_MS = 500;
  private static final int DEFAULT_SIZE_BYTES = 32 << 20;

  private final FaultKind kind;
  private final String method;
  private final String path;
  private final String prompt;
  private final int delayMs;
  private final int durationMs;
  private final int times;
  private final int afterChunks;
  private final int sizeBytes;
  private final double factor;
  private final double share;

  private Fault(Builder builder) {
    this.kind = Objects.requireNonNull(builder.kind, "kind");
    this.method = builder.method;
    this.path = builder.path;
    this.prompt = builder.prompt;
    this.delayMs = builder.delayMs;
    this.durationMs = builder.durationMs;
    this.times = builder.times;
    this.afterChunks = builder.afterChunks;
    this.sizeBytes = builder.sizeBytes;
    this.factor = builder.factor;
    this.share = builder.share;
  }

  /**
   * Returns a builder of a fault that by default affects every request until it is cleared.
   *
   * @param kind the kind
   */
  public static Builder builder(FaultKind kind) {
    return new Builder(kind);
  }

  /**
   * Parses a fault.
   *
   * @param json an object in the format described above
   * @return the fault
   * @throws IllegalArgumentException if the kind is missing or unknown
   */
  public static Fault parse(JsonNode json) {
    return builder(FaultKind.ofWireName(json.path("kind").asText()))
        .method(json.path("method").asText(""))
        .path(json.path("path").asText(""))
        .prompt(json.path("prompt").asText(""))
        .delayMs(json.path("delayMs").asInt(DEFAULT_DELAY_MS))
        .durationMs(json.path("durationMs").asInt(0))
        .times(json.path("times").asInt(0))
        .afterChunks(json.path("afterChunks").asInt(1))
        .sizeBytes(json.path("sizeBytes").asInt(DEFAULT_SIZE_BYTES))
        .factor(json.path("factor").asDouble(1))
        .share(json.path("share").asDouble(1))
        .build();
  }

  /** Returns the kind. */
  public FaultKind kind() {
    return kind;
  }

  /** Returns the text that a prompt must contain to crash the engine. */
  public String prompt() {
    return prompt;
  }

  /** Returns the delay in milliseconds. */
  public int delayMs() {
    return delayMs;
  }

  /** Returns the duration of the fault in milliseconds; 0 for no limit. */
  public int durationMs() {
    return durationMs;
  }

  /** Returns the maximum number of occurrences; 0 for no limit. */
  public int times() {
    return times;
  }

  /** Returns the number of chunks of a stream that are sent before the fault occurs. */
  public int afterChunks() {
    return afterChunks;
  }

  /** Returns the number of excess bytes of an oversized response. */
  public int sizeBytes() {
    return sizeBytes;
  }

  /** Returns the factor by which the time per token is multiplied. */
  public double factor() {
    return factor;
  }

  /** Returns the probability that the fault affects a matching request, 0 to 1. */
  public double share() {
    return share;
  }

  boolean matches(String requestMethod, String requestPath) {
    return (method.isEmpty() || method.equals(requestMethod)) && requestPath.startsWith(path);
  }

  /** Builds a {@link Fault}. */
  public static final class Builder {
    private final FaultKind kind;
    private String method = "";
    private String path = "";
    private String prompt = "";
    private int delayMs = DEFAULT_DELAY_MS;
    private int durationMs;
    private int times;
    private int afterChunks = 1;
    private int sizeBytes = DEFAULT_SIZE_BYTES;
    private double factor = 1;
    private double share = 1;

    private Builder(FaultKind kind) {
      this.kind = kind;
    }

    /**
     * Limits the fault to one HTTP method.
     *
     * @param method the method, empty for all
     * @return this builder
     */
    public Builder method(String method) {
      this.method = method;
      return this;
    }

    /**
     * Limits the fault to paths with a prefix.
     *
     * @param path the prefix
     * @return this builder
     */
    public Builder path(String path) {
      this.path = path;
      return this;
    }

    /**
     * Sets the text that identifies a poison prompt.
     *
     * @param prompt a text that the prompt contains
     * @return this builder
     */
    public Builder prompt(String prompt) {
      this.prompt = prompt;
      return this;
    }

    /**
     * Sets the delay.
     *
     * @param delayMs milliseconds
     * @return this builder
     */
    public Builder delayMs(int delayMs) {
      this.delayMs = delayMs;
      return this;
    }

    /**
     * Sets the duration of the fault.
     *
     * @param durationMs milliseconds, 0 for no limit
     * @return this builder
     */
    public Builder durationMs(int durationMs) {
      this.durationMs = durationMs;
      return this;
    }

    /**
     * Sets the maximum number of occurrences.
     *
     * @param times the number, 0 for no limit
     * @return this builder
     */
    public Builder times(int times) {
      this.times = times;
      return this;
    }

    /**
     * Sets the position in a stream at which the fault occurs.
     *
     * @param afterChunks the number of chunks sent before it
     * @return this builder
     */
    public Builder afterChunks(int afterChunks) {
      this.afterChunks = afterChunks;
      return this;
    }

    /**
     * Sets the number of excess bytes of an oversized response.
     *
     * @param sizeBytes bytes
     * @return this builder
     */
    public Builder sizeBytes(int sizeBytes) {
      this.sizeBytes = sizeBytes;
      return this;
    }

    /**
     * Sets the factor by which the time per token is multiplied.
     *
     * @param factor greater than 0
     * @return this builder
     */
    public Builder factor(double factor) {
      this.factor = factor;
      return this;
    }

    /**
     * Sets the probability of the fault.
     *
     * @param share 0 to 1
     * @return this builder
     */
    public Builder share(double share) {
      this.share = share;
      return this;
    }

    /** Builds the fault. */
    public Fault build() {
      return new Fault(this);
    }
  }
}
