package org.sycamoretrack.core.connection;

import java.util.Objects;

/**
 * An immutable snapshot of an endpoint for endpoint selection, created by {@link
 * EndpointStats#view} or received from a peer.
 */
public final class EndpointView {
  private final String name;
  private final String zone;
  private final int reportedLoad;
  private final int limit;
  private final int inFlight;
  private final long queuedTokens;
  private final double timeToFirstTokenMs;
  private final double timePerTokenMs;
  private final EjectionState ejection;
  private final boolean inService;
  private final long servedVersion;
  private final long asOfMs;

  private EndpointView(Builder builder) {
    this.name = Objects.requireNonNull(builder.name);
    this.zone = Objects.requireNonNull(builder.zone);
    this.reportedLoad = builder.reportedLoad;
    this.limit = builder.limit;
    this.inFlight = builder.inFlight;
    this.queuedTokens = builder.queuedTokens;
    this.timeToFirstTokenMs = builder.timeToFirstTokenMs;
    this.timePerTokenMs = builder.timePerTokenMs;
    this.ejection = builder.ejection;
    this.inService = builder.inService;
    this.servedVersion = builder.servedVersion;
    this.asOfMs = builder.asOfMs;
  }

  /**
   * Returns a builder, initially of an endpoint that is in service and has no load.
   *
   * @param name the endpoint's name
   * @param zone its availability zone
   */
  public static Builder builder(String name, String zone) {
    return new Builder(name, zone);
  }

  /** Returns the endpoint's name. */
  public String name() {
    return name;
  }

  /** Returns its availability zone. */
  public String zone() {
    return zone;
  }

  /** Returns the running and waiting requests in the last load report, -1 without one. */
  public int reportedLoad() {
    return reportedLoad;
  }

  /** Returns the maximum number of concurrent requests. */
  public int limit() {
    return limit;
  }

  /** Returns the number of requests that were sent and haven't ended. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the expected number of tokens of the requests that wait for the endpoint. */
  public long queuedTokens() {
    return queuedTokens;
  }

  /** Returns the measured time to the first token. */
  public double timeToFirstTokenMs() {
    return timeToFirstTokenMs;
  }

  /** Returns the measured time per token after the first. */
  public double timePerTokenMs() {
    return timePerTokenMs;
  }

  /** Returns the ejection state. */
  public EjectionState ejection() {
    return ejection;
  }

  /** Returns whether the endpoint is in service: reachable, not drained and not leaving. */
  public boolean inService() {
    return inService;
  }

  /** Returns the weight version that the endpoint serves, 0 if none. */
  public long servedVersion() {
    return servedVersion;
  }

  /** Returns the time at which the snapshot was taken. */
  public long asOfMs() {
    return asOfMs;
  }

  @Override
  public String toString() {
    return "EndpointView{"
        + name
        + ", zone="
        + zone
        + ", inFlight="
        + inFlight
        + "/"
        + limit
        + ", queuedTokens="
        + queuedTokens
        + ", timePerTokenMs="
        + timePerTokenMs
        + ", "
        + ejection
        + (inService ? "" : ", out of service")
        + "}";
  }

  /** Builds an {@link EndpointView}. */
  public static final class Builder {
    private final String name;
    private final String zone;
    private int reportedLoad = -1;
    private int limit = 1;
    private int inFlight;
    private long queuedTokens;
    private double timeToFirstTokenMs;
    private double timePerTokenMs = 1;
    private EjectionState ejection = EjectionState.IN_USE;
    private boolean inService = true;
    private long servedVersion;
    private long asOfMs;

    private Builder(String name, String zone) {
      this.name = name;
      this.zone = zone;
    }

    /** Sets {@link EndpointView#reportedLoad()}. */
    public Builder reportedLoad(int requests) {
      this.reportedLoad = requests;
      return this;
    }

    /** Sets {@link EndpointView#limit()}. */
    public Builder limit(int requests) {
      this.limit = requests;
      return this;
    }

    /** Sets {@link EndpointView#inFlight()}. */
    public Builder inFlight(int requests) {
      this.inFlight = requests;
      return this;
    }

    /** Sets {@link EndpointView#queuedTokens()}. */
    public Builder queuedTokens(long tokens) {
      this.queuedTokens = tokens;
      return this;
    }

    /** Sets {@link EndpointView#timeToFirstTokenMs()}. */
    public Builder timeToFirstTokenMs(double durationMs) {
      this.timeToFirstTokenMs = durationMs;
      return this;
    }

    /** Sets {@link EndpointView#timePerTokenMs()}. */
    public Builder timePerTokenMs(double durationMs) {
      this.timePerTokenMs = durationMs;
      return this;
    }

    /** Sets {@link EndpointView#ejection()}. */
    public Builder ejection(EjectionState state) {
      this.ejection = state;
      return this;
    }

    /** Sets {@link EndpointView#inService()}. */
    public Builder inService(boolean value) {
      this.inService = value;
      return this;
    }

    /** Sets {@link EndpointView#servedVersion()}. */
    public Builder servedVersion(long version) {
      this.servedVersion = version;
      return this;
    }

    /** Sets {@link EndpointView#asOfMs()}. */
    public Builder asOfMs(long timeMs) {
      this.asOfMs = timeMs;
      return this;
    }

    /** Builds the view. */
    public EndpointView build() {
      return new EndpointView(this);
    }
  }
}
