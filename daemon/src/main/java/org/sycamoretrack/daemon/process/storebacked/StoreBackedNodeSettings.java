package org.sycamoretrack.daemon.process.storebacked;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import org.sycamoretrack.core.connection.ZoneTraffic;
import org.sycamoretrack.core.process.LongPollWait;
import org.sycamoretrack.core.version.weights.ConcurrentLoadLimit;

/**
 * The settings of a {@link StoreBackedNode}: its identity, its addresses, and the limits and times
 * that its platform sets. Immutable.
 */
public final class StoreBackedNodeSettings {
  private final String nodeId;
  private final String zone;
  private final InetSocketAddress callerAddress;
  private final InetSocketAddress readyAddress;
  private final InetSocketAddress metricsAddress;
  private final String peerAddress;
  private final int maxBodyBytes;
  private final ConcurrentLoadLimit loadLimit;
  private final long graceMs;
  private final long cancelMs;
  private final long drainMs;
  private final long resultsPromisedMs;
  private final ControlServiceSettings controlService;
  private final boolean shareByDemand;
  private final ZoneTraffic zoneTraffic;

  private StoreBackedNodeSettings(Builder builder) {
    this.nodeId = Objects.requireNonNull(builder.nodeId, "nodeId");
    this.zone = Objects.requireNonNull(builder.zone, "zone");
    this.callerAddress = Objects.requireNonNull(builder.callerAddress, "callerAddress");
    this.readyAddress = Objects.requireNonNull(builder.readyAddress, "readyAddress");
    this.metricsAddress = Objects.requireNonNull(builder.metricsAddress, "metricsAddress");
    this.peerAddress = Objects.requireNonNull(builder.peerAddress, "peerAddress");
    this.maxBodyBytes = builder.maxBodyBytes;
    this.loadLimit = Objects.requireNonNull(builder.loadLimit, "loadLimit");
    this.graceMs = builder.graceMs;
    this.cancelMs = builder.cancelMs;
    this.drainMs = builder.drainMs;
    this.resultsPromisedMs = builder.resultsPromisedMs;
    this.controlService = builder.controlService;
    this.shareByDemand = builder.shareByDemand;
    this.zoneTraffic = builder.zoneTraffic;
  }

  /** Returns a builder; all values must be set, except those with a default. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the id of the node, unique in the deployment. */
  public String nodeId() {
    return nodeId;
  }

  /** Returns the availability zone of the node. */
  public String zone() {
    return zone;
  }

  /** Returns the address for callers; port 0 selects a free port. */
  public InetSocketAddress callerAddress() {
    return callerAddress;
  }

  /** Returns the address at which the platform checks readiness. */
  public InetSocketAddress readyAddress() {
    return readyAddress;
  }

  /** Returns the address at which operators read metrics and the state dump. */
  public InetSocketAddress metricsAddress() {
    return metricsAddress;
  }

  /** Returns the address for peers, {@code ip:port}. */
  public String peerAddress() {
    return peerAddress;
  }

  /** Returns the maximum size of a request body, in bytes. */
  public int maxBodyBytes() {
    return maxBodyBytes;
  }

  /** Returns the limit of endpoints that load weights concurrently. */
  public ConcurrentLoadLimit loadLimit() {
    return loadLimit;
  }

  /** Returns the time that a graceful stop may take, in milliseconds. */
  public long graceMs() {
    return graceMs;
  }

  /** Returns the time after which a cancelled batch must start no more items, in milliseconds. */
  public long cancelMs() {
    return cancelMs;
  }

  /** Returns the time after which a draining endpoint must get no more work, in milliseconds. */
  public long drainMs() {
    return drainMs;
  }

  /** Returns how long results remain available after a submission, in milliseconds. */
  public long resultsPromisedMs() {
    return resultsPromisedMs;
  }

  /** Returns the settings of the control service; empty where the deployment has none. */
  public Optional<ControlServiceSettings> controlService() {
    return Optional.ofNullable(controlService);
  }

  /** Returns whether the shares of models follow their demand instead of having the same size. */
  public boolean shareByDemand() {
    return shareByDemand;
  }

  /** Returns the terms of traffic between availability zones; empty to place without them. */
  public Optional<ZoneTraffic> zoneTraffic() {
    return Optional.ofNullable(zoneTraffic);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StoreBackedNodeSettings that
        && nodeId.equals(that.nodeId)
        && zone.equals(that.zone)
        && callerAddress.equals(that.callerAddress)
        && readyAddress.equals(that.readyAddress)
        && metricsAddress.equals(that.metricsAddress)
        && peerAddress.equals(that.peerAddress)
        && maxBodyBytes == that.maxBodyBytes
        && loadLimit.equals(that.loadLimit)
        && graceMs == that.graceMs
        && cancelMs == that.cancelMs
        && drainMs == that.drainMs
        && resultsPromisedMs == that.resultsPromisedMs
        && Objects.equals(controlService, that.controlService)
        && shareByDemand == that.shareByDemand
        && Objects.equals(zoneTraffic, that.zoneTraffic);
  }

  @Override
  public int hashCode() {
    return Objects.hash(nodeId, callerAddress, peerAddress);
  }

  /** Builds {@link StoreBackedNodeSettings}. */
  public static final class Builder {
    private String nodeId;
    private String zone;
    private InetSocketAddress callerAddress;
    private InetSocketAddress readyAddress;
    private InetSocketAddress metricsAddress;
    private String peerAddress;
    private int maxBodyBytes;
    private ConcurrentLoadLimit loadLimit;
    private long graceMs;
    private long cancelMs;
    private long drainMs = LongPollWait.MIN_DRAIN_MS;
    private long resultsPromisedMs;
    private ControlServiceSettings controlService;
    private boolean shareByDemand;
    private ZoneTraffic zoneTraffic;

    private Builder() {}

    /** Sets the id of the node, unique in the deployment. */
    public Builder nodeId(String value) {
      this.nodeId = value;
      return this;
    }

    /** Sets the availability zone of the node. */
    public Builder zone(String value) {
      this.zone = value;
      return this;
    }

    /** Sets the address for callers; port 0 selects a free port. */
    public Builder callerAddress(InetSocketAddress value) {
      this.callerAddress = value;
      return this;
    }

    /** Sets the address at which the platform checks readiness. */
    public Builder readyAddress(InetSocketAddress value) {
      this.readyAddress = value;
      return this;
    }

    /**
     * Sets the address at which operators read metrics and the state dump; port 0 selects a free
     * port.
     */
    public Builder metricsAddress(InetSocketAddress value) {
      this.metricsAddress = value;
      return this;
    }

    /** Sets the address for peers, {@code ip:port}. */
    public Builder peerAddress(String value) {
      this.peerAddress = value;
      return this;
    }

    /** Sets the maximum size of a request body, in bytes. */
    public Builder maxBodyBytes(int value) {
      this.maxBodyBytes = value;
      return this;
    }

    /** Sets the limit of endpoints that load weights concurrently. */
    public Builder loadLimit(ConcurrentLoadLimit value) {
      this.loadLimit = value;
      return this;
    }

    /** Sets the time that a graceful stop may take, in milliseconds. */
    public Builder graceMs(long value) {
      this.graceMs = value;
      return this;
    }

    /** Sets the time after which a cancelled batch must start no more items, in milliseconds. */
    public Builder cancelMs(long value) {
      this.cancelMs = value;
      return this;
    }

    /**
     * Sets the time after which a draining endpoint must get no more work, in milliseconds; {@link
     * LongPollWait#MIN_DRAIN_MS} unless set.
     */
    public Builder drainMs(long value) {
      this.drainMs = value;
      return this;
    }

    /** Sets how long results remain available after a submission, in milliseconds. */
    public Builder resultsPromisedMs(long value) {
      this.resultsPromisedMs = value;
      return this;
    }

    /** Sets the control service; null, the default, where the deployment has none. */
    public Builder controlService(ControlServiceSettings value) {
      this.controlService = value;
      return this;
    }

    /** Sets whether the shares of models follow their demand; false by default. */
    public Builder shareByDemand(boolean value) {
      this.shareByDemand = value;
      return this;
    }

    /** Sets the terms of traffic between availability zones; null, the default, for none. */
    public Builder zoneTraffic(ZoneTraffic value) {
      this.zoneTraffic = value;
      return this;
    }

    /** Builds the settings. */
    public StoreBackedNodeSettings build() {
      return new StoreBackedNodeSettings(this);
    }
  }
}
