package org.sycamoretrack.core.version.routing;

import java.util.List;
import java.util.Objects;

/** A route: the requests of one host under one path prefix. Immutable. */
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
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the name. */
  public String name() {
    return name;
  }

  /** Returns the host that requests name. */
  public String host() {
    return host;
  }

  /** Returns what the paths begin with; begins and ends with a slash. */
  public String prefix() {
    return prefix;
  }

  /** Returns what the route carries. */
  public RouteKind kind() {
    return kind;
  }

  /** Returns the longest time in milliseconds for which a caller is kept waiting. */
  public long timeoutMs() {
    return timeoutMs;
  }

  /** Returns the most endpoints that one attempt of a caller is sent to, at least 1. */
  public int attempts() {
    return attempts;
  }

  /** Returns the services that share the route. */
  public List<WeightedService> services() {
    return services;
  }

  /** Returns whether a stream may go on at another endpoint after its last whole event. */
  public boolean resumable() {
    return resumable;
  }

  /** Returns whether all events of a text must come from one version of the weights. */
  public boolean singleVersion() {
    return singleVersion;
  }

  /**
   * Returns the time in milliseconds after which an item of a batch may be given up; 0 for none.
   */
  public long maxQueueMs() {
    return maxQueueMs;
  }

  /** Returns the time in milliseconds after which a batch's results are late; 0 for none. */
  public long dueMs() {
    return dueMs;
  }

  /**
   * Returns the service that a request goes to, in proportion to the weights.
   *
   * @param draw a number that is spread evenly over all integers
   * @return the service; null when the route has none
   */
  public String service(int draw) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    if (total <= 0) {
      return services.isEmpty() ? null : services.get(0).service();
    }
    int rest = Math.floorMod(draw, total);
    for (WeightedService each : services) {
      rest -= each.weight();
      if (rest < 0) {
        return each.service();
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

    private Builder() {}

    /** Sets the name. */
    public Builder name(String value) {
      this.name = value;
      return this;
    }

    /** Sets the host that requests name. */
    public Builder host(String value) {
      this.host = value;
      return this;
    }

    /** Sets what the paths begin with. */
    public Builder prefix(String value) {
      this.prefix = value;
      return this;
    }

    /** Sets what the route carries. */
    public Builder kind(RouteKind value) {
      this.kind = value;
      return this;
    }

    /** Sets the longest wait of a caller, in milliseconds. */
    public Builder timeoutMs(long value) {
      this.timeoutMs = value;
      return this;
    }

    /** Sets the most endpoints for one attempt of a caller. */
    public Builder attempts(int value) {
      this.attempts = value;
      return this;
    }

    /** Sets the services that share the route. */
    public Builder services(List<WeightedService> value) {
      this.services = value;
      return this;
    }

    /** Sets whether streams may be resumed. */
    public Builder resumable(boolean value) {
      this.resumable = value;
      return this;
    }

    /** Sets whether a text must come from one version of the weights. */
    public Builder singleVersion(boolean value) {
      this.singleVersion = value;
      return this;
    }

    /** Sets the time after which an item may be given up, in milliseconds. */
    public Builder maxQueueMs(long value) {
      this.maxQueueMs = value;
      return this;
    }

    /** Sets the time after which results are late, in milliseconds. */
    public Builder dueMs(long value) {
      this.dueMs = value;
      return this;
    }

    /** Returns the route. */
    public Route build() {
      return new Route(this);
    }
  }
}
