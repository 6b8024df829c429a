package org.sycamoretrack.standins.process;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import org.sycamoretrack.standins.version.WeightStoreStandin;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * In-memory implementation of the platform behind one HTTP server: table service, object store,
 * host list and weight store. {@code GET /statistics} returns request counters.
 */
public final class PlatformStandin implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 16 << 20;

  private final EventLoopGroup group;
  private final boolean ownsGroup;
  private final FaultInjector faults;
  private final TableServiceStandin table = new TableServiceStandin();
  private final ObjectStoreStandin objects = new ObjectStoreStandin();
  private final HostListStandin hosts;
  private final WeightStoreStandin weights;
  private final HttpServer server;

  private PlatformStandin(Builder builder) {
    this.ownsGroup = builder.group == null;
    this.group = ownsGroup ? EventLoops.start("platform", 1) : builder.group;
    this.faults = new FaultInjector(builder.seed);
    this.hosts = new HostListStandin(builder.hostLagMs);
    this.weights =
        new WeightStoreStandin(builder.weightsBytes, builder.fetchesPerSecond, builder.fetchBurst);
    this.server =
        HttpServer.builder()
            .group(group)
            .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), builder.port))
            .maxBodyBytes(MAX_BODY_BYTES)
            .handler(faults.wrap(this::handle))
            .start();
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the address that the platform listens on. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Returns the fault injector. */
  public FaultInjector faults() {
    return faults;
  }

  /** Returns the table service. */
  public TableServiceStandin table() {
    return table;
  }

  /** Returns the host list. */
  public HostListStandin hosts() {
    return hosts;
  }

  /** Returns the weight store. */
  public WeightStoreStandin weights() {
    return weights;
  }

  private void handle(HttpExchange exchange) {
    try {
      exchange.respond(responseTo(exchange));
    } catch (IllegalArgumentException e) {
      exchange.respond(HttpUtils.error(400, "invalid-request", String.valueOf(e.getMessage())));
    }
  }

  private HttpResponse responseTo(HttpExchange exchange) {
    String[] segments = HttpUtils.segments(exchange.path());
    return switch (segments[0]) {
      case "tables" -> table.read(exchange, segments);
      case "transactions" -> table.transact(HttpUtils.body(exchange));
      case "objects" -> objects.handle(exchange);
      case "hosts", "host-lag" -> hosts.handle(exchange, segments);
      case "models" -> weights.handle(exchange.method(), segments);
      case "statistics" -> HttpResponse.json(200, statistics());
      default -> HttpUtils.error(404, "not-found", "no such path");
    };
  }

  private Map<String, Long> statistics() {
    return Map.of(
        "tableReads", table.reads(),
        "tableWrites", table.writes(),
        "weightFetches", weights.fetches(),
        "weightRefusals", weights.refusals(),
        "faults", faults.occurred());
  }

  @Override
  public void close() {
    server.close();
    if (ownsGroup) {
      EventLoops.stop(group);
    }
  }

  /** Builds and starts a {@link PlatformStandin}. */
  public static final class Builder {
    private EventLoopGroup group;
    private int port;
    private long seed;
    private int hostLagMs;
    private int weightsBytes = 1 << 16;
    private double fetchesPerSecond = 8;
    private int fetchBurst = 4;

    private Builder() {}

    /**
     * Sets the event loops. By default the platform starts its own.
     *
     * @param group the event loops; closing the platform does not stop them
     * @return this builder
     */
    public Builder group(EventLoopGroup group) {
      this.group = group;
      return this;
    }

    /**
     * Sets the port.
     *
     * @param port the port on the loopback address, 0 for any free port
     * @return this builder
     */
    public Builder port(int port) {
      this.port = port;
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

    /**
     * Sets the delay after which changes become visible in the host list.
     *
     * @param hostLagMs milliseconds
     * @return this builder
     */
    public Builder hostLagMs(int hostLagMs) {
      this.hostLagMs = hostLagMs;
      return this;
    }

    /**
     * Sets the size of the weights of each version.
     *
     * @param weightsBytes bytes
     * @return this builder
     */
    public Builder weightsBytes(int weightsBytes) {
      this.weightsBytes = weightsBytes;
      return this;
    }

    /**
     * Sets the rate limit of the weight store.
     *
     * @param fetchesPerSecond sustained rate
     * @param fetchBurst maximum burst
     * @return this builder
     */
    public Builder fetchLimit(double fetchesPerSecond, int fetchBurst) {
      this.fetchesPerSecond = fetchesPerSecond;
      this.fetchBurst = fetchBurst;
      return this;
    }

    /** Starts the platform. */
    public PlatformStandin start() {
      return new PlatformStandin(this);
    }
  }
}
