package org.sycamoretrack.core.version.routing;

import java.util.List;
import java.util.Objects;

/** The handling of requests to one host and path prefix. Immutable. */
public final class Route {
  private final String name;
  private final String host;
  private final String prefix;
  private final RouteKind kind;
  private final long timeoutMs;
  private final int attempts;
  private final List<WeightedService> services;
  private final boolean resumable;
  private final boolean singleVersion;
  private final long maxQueueMs;
  private final long dueMs;
  private final boolean authExempt;
  private final int priority;

  private Route(Builder builder) {
    this.name = Objects.requireNonNull(builder.name, "name");
    this.host = Objects.requireNonNull(builder.host, "host");
    this.prefix = Objects.requireNonNull(builder.prefix, "prefix");
    this.kind = Objects.requireNonNull(builder.kind, "kind");
    this.timeoutMs = builder.timeoutMs;
    this.attempts = Math.max(1, builder.attempts);
    this.services = List.copyOf(builder.services);
    this.resumable = builder.resumable;
    this.singleVersion = builder.singleVersion;
    this.maxQueueMs = builder.maxQueueMs;
    this.dueMs = builder.dueMs;
    this.authExempt = builder.authExempt;
    this.priority = builder.priority;
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the name. */
  public String name() {
    return name;
  }

  /** Returns the host that requests must have. */
  public String host() {
    return host;
  }

  /** Returns the path prefix, which begins and ends with a slash. */
  public String prefix() {
    return prefix;
  }

  /** Returns the kind, which decides how requests may be retried. */
  public RouteKind kind() {
    return kind;
  }

  /** Returns the maximum time in milliseconds that a caller waits for a response. */
  public long timeoutMs() {
    return timeoutMs;
  }

  /** Returns the maximum number of endpoints to try for each attempt of a caller, at least 1. */
  public int attempts() {
    return attempts;
  }

  /** Returns the services between which requests are split by weight. */
  public List<WeightedService> services() {
    return services;
  }

  /** Returns whether a stream may resume at another endpoint after its last complete event. */
  public boolean resumable() {
    return resumable;
  }

  /** Returns whether all events of a text must come from the same weight version. */
  public boolean singleVersion() {
    return singleVersion;
  }

  /**
   * Returns the time in milliseconds after which an item of a batch may be abandoned; 0 for none.
   */
  public long maxQueueMs() {
    return maxQueueMs;
  }

  /** Returns the time in milliseconds after which a batch's results are late; 0 for none. */
  public long dueMs() {
    return dueMs;
  }

  /** Returns whether requests need no API key, even if the manifest defines customers. */
  public boolean authExempt() {
    return authExempt;
  }

  /** Returns the priority of requests whose customer has none, 0 for the highest. */
  public int priority() {
    return priority;
  }

  /**
   * Selects the service of a request at random, in proportion to the weights.
   *
   * @param draw a uniformly distributed random integer
   * @return the name of the service, or null if the route has none
   */
  public String selectService(int draw) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    if (total <= 0) {
      return services.isEmpty() ? null : services.get(0).service();
    }
    int remaining = Math.floorMod(draw, total);
    for (WeightedService candidate : services) {
      remaining -= candidate.weight();
      if (remaining < 0) {
        return candidate.service();
      }
    }
    return services.get(0).service();
  }

  /** Builds a {@link Route}. */
  public static final class Builder {
    private String name;
    private String host;
    private String prefix;
    private RouteKind kind;
    private long timeoutMs;
    private int attempts = 1;
    private List<WeightedService> services = List.of();
    private boolean resumable;
    private boolean singleVersion;
    private long maxQueueMs;
    private long dueMs;
    private boolean authExempt;
    private int priority;

    private Builder() {}

    /** Sets the name. */
    public Builder name(String value) {
      this.name = value;
      return this;
    }

    /** Sets the host that requests must have. */
    public Builder host(String value) {
      this.host = value;
      return this;
    }

    /** Sets the path prefix, which begins and ends with a slash. */
    public Builder prefix(String value) {
      this.prefix = value;
      return this;
    }

    /** Sets the kind, which decides how requests may be retried. */
    public Builder kind(RouteKind value) {
      this.kind = value;
      return this;
    }

    /** Sets the maximum time that a caller waits for a response, in milliseconds. */
    public Builder timeoutMs(long value) {
      this.timeoutMs = value;
      return this;
    }

    /** Sets the maximum number of endpoints to try for each attempt of a caller. */
    public Builder attempts(int value) {
      this.attempts = value;
      return this;
    }

    /** Sets the services between which requests are split by weight. */
    public Builder services(List<WeightedService> value) {
      this.services = value;
      return this;
    }

    /** Sets whether a stream may resume at another endpoint. */
    public Builder resumable(boolean value) {
      this.resumable = value;
      return this;
    }

    /** Sets whether all events of a text must come from the same weight version. */
    public Builder singleVersion(boolean value) {
      this.singleVersion = value;
      return this;
    }

    /**
     * Sets the time after which an item of a batch may be abandoned, in milliseconds; 0 for none.
     */
    public Builder maxQueueMs(long value) {
      this.maxQueueMs = value;
      return this;
    }

    /** Sets the time after which a batch's results are late, in milliseconds; 0 for none. */
    public Builder dueMs(long value) {
      this.dueMs = value;
      return this;
    }

    /** Sets whether requests need no API key. */
    public Builder authExempt(boolean value) {
      this.authExempt = value;
      return this;
    }

    /** Sets the priority of requests whose customer has none, 0 for the highest. */
    public Builder priority(int value) {
      this.priority = value;
      return this;
    }

    /** Returns the route. */
    public Route build() {
      return new Route(this);
    }
  }
}
