package org.sycamoretrack.daemon.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The connections between this node and its peers.
 *
 * <p>Two nodes have two connections, one for each direction: a node sends on the connection that it
 * opened and receives on the one that the peer opened. Therefore no rule is needed to choose
 * between two simultaneous connections, and the side that has to reconnect detects the failure.
 *
 * <p>After {@link #dial}, the link keeps connecting to the address, with backoff, until {@link
 * #stopDialling}. When the connection of either direction closes, the listeners of {@link
 * #onDisconnected} are called, since messages of either node may have been lost. Heartbeats are
 * sent every second; with more than {@value #MAX_HEARTBEATS_PER_SECOND} peers the interval grows,
 * so that the number of heartbeats per second stays limited.
 *
 * <p>Invariant: {@link #send} never blocks. Accepted messages arrive in order, or the peer is
 * reported as disconnected.
 *
 * <p>Example: a dials b. b sends a challenge, a sends a hello, b sends a welcome; now {@code
 * a.send("b", message)} is accepted. b dials a in the same way for messages in the other direction.
 */
public final class PeerLink implements AutoCloseable {
  static final long HEARTBEAT_MS = 1_000;
  static final long MAX_HEARTBEAT_MS = 30_000;
  static final long HANDSHAKE_TIMEOUT_MS = 3_000;
  private static final int MAX_HEARTBEATS_PER_SECOND = 32;
  private static final long CHECK_INTERVAL_MS = 250;
  private static final int CONNECT_TIMEOUT_MS = 2_000;
  private static final System.Logger LOG = System.getLogger(PeerLink.class.getName());

  private final EventLoopGroup group;
  private final Supplier<PeerIdentity> identity;
  private final PeerAuthenticator authenticator;
  private final int maxFrameBytes;
  private final int maxQueuedBytes;
  private final RandomGenerator random;
  private final PeerCodec codec = new PeerCodec();
  private final PeerLinkStats stats = new PeerLinkStats();
  private final Map<String, PeerHandler<PeerMessage>> handlers = new ConcurrentHashMap<>();
  private final List<Consumer<PeerIdentity>> connectedListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<PeerIdentity>> inboundListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<String>> disconnectedListeners = new CopyOnWriteArrayList<>();
  private final Map<InetSocketAddress, PeerTarget> targets = new ConcurrentHashMap<>();
  private final Map<String, OutboundConnection> outbound = new ConcurrentHashMap<>();
  private final Map<String, InboundConnection> inbound = new ConcurrentHashMap<>();
  private final Set<InboundConnection> accepted = ConcurrentHashMap.newKeySet();
  private final Channel server;
  private final ScheduledFuture<?> connectionCheck;
  private volatile boolean closed;

  private PeerLink(Builder builder) {
    this.group = Objects.requireNonNull(builder.group, "group");
    this.identity = Objects.requireNonNull(builder.identity, "identity");
    this.authenticator = new PeerAuthenticator(builder.key);
    this.maxFrameBytes = builder.maxFrameBytes;
    this.maxQueuedBytes = builder.maxQueuedBytes;
    this.random = builder.random;
    Handshake.register(codec);
    this.server = listen(builder.address);
    this.connectionCheck =
        group
            .next()
            .scheduleAtFixedRate(
                this::checkConnections,
                CHECK_INTERVAL_MS,
                CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
  }

  public static Builder builder() {
    return new Builder();
  }

  private Channel listen(InetSocketAddress address) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                new InboundConnection(PeerLink.this).addTo(ch.pipeline());
              }
            })
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  /** Returns the address at which peers are accepted, with the bound port. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  public PeerLinkStats stats() {
    return stats;
  }

  /**
   * Registers the decoder and the handler of a message type. Call it before {@link #dial}.
   *
   * @param type the type
   * @param decoder creates a message from its fields; throws {@link MalformedFrameException}
   * @param handler receives the messages
   * @param <T> the class of the messages
   */
  public <T extends PeerMessage> void onMessage(
      String type, Function<FieldReader, T> decoder, PeerHandler<? super T> handler) {
    @SuppressWarnings("unchecked")
    PeerHandler<PeerMessage> untyped =
        (from, message) -> ((PeerHandler<PeerMessage>) handler).onMessage(from, message);
    handlers.put(type, untyped);
    codec.register(type, decoder);
  }

  /**
   * Adds a listener that is called when messages can be sent to a peer.
   *
   * @param listener called on an event loop
   */
  public void onConnected(Consumer<PeerIdentity> listener) {
    connectedListeners.add(listener);
  }

  /**
   * Adds a listener that is called when a peer has completed the handshake of an inbound
   * connection.
   *
   * @param listener called on an event loop
   */
  public void onInboundConnected(Consumer<PeerIdentity> listener) {
    inboundListeners.add(listener);
  }

  /**
   * Adds a listener that is called when a connection from or to a peer has closed, so that messages
   * in either direction may have been lost. It may be called twice for one peer.
   *
   * @param listener called on an event loop with the node id of the peer
   */
  public void onDisconnected(Consumer<String> listener) {
    disconnectedListeners.add(listener);
  }

  /**
   * Connects to an address and reconnects whenever the connection closes. Has no effect when the
   * address is dialled already.
   *
   * @param address the address at which a peer accepts connections
   */
  public void dial(InetSocketAddress address) {
    PeerTarget target = new PeerTarget(address);
    if (!closed && targets.putIfAbsent(address, target) == null) {
      connect(target);
    }
  }

  /**
   * Closes the connection to an address and stops connecting to it.
   *
   * @param address the address
   */
  public void stopDialling(InetSocketAddress address) {
    PeerTarget target = targets.remove(address);
    if (target != null) {
      target.remove();
    }
  }

  /** Returns the addresses that the link keeps connecting to. */
  public Set<InetSocketAddress> dialled() {
    return Set.copyOf(targets.keySet());
  }

  /**
   * Sends a message. May be called from any thread and never blocks.
   *
   * @param nodeId the id of the receiver
   * @param message the message
   * @return false when the message was not sent because there is no connection or its buffer is
   *     full
   */
  public boolean send(String nodeId, PeerMessage message) {
    OutboundConnection connection = outbound.get(nodeId);
    if (connection != null && connection.send(message)) {
      return true;
    }
    stats.sendsRefused.increment();
    return false;
  }

  /**
   * Sends a message that the receiver waits for. If it can't be sent, the connection on which the
   * receiver sends is closed, so that the receiver learns that the message is lost.
   *
   * @param nodeId the id of the receiver
   * @param message the message, for example the response to a call
   */
  public void sendOrDisconnect(String nodeId, PeerMessage message) {
    if (send(nodeId, message)) {
      return;
    }
    LOG.log(
        System.Logger.Level.WARNING,
        "peer-message-not-sent " + message.type() + " to " + nodeId + "; closing its connection");
    InboundConnection connection = inbound.get(nodeId);
    if (connection != null) {
      connection.close();
    }
  }

  /**
   * Returns whether {@link #send} would accept a message now.
   *
   * @param nodeId the receiver
   */
  public boolean isWritable(String nodeId) {
    OutboundConnection connection = outbound.get(nodeId);
    return connection != null && connection.isWritable();
  }

  /**
   * Returns whether messages can be sent to a node and received from it.
   *
   * @param nodeId the node
   */
  public boolean isConnectedBothWays(String nodeId) {
    return isWritable(nodeId) && inbound.containsKey(nodeId);
  }

  /** Returns the ids of the nodes that messages can be sent to. */
  public Set<String> connectedPeers() {
    return Set.copyOf(outbound.keySet());
  }

  private void connect(PeerTarget target) {
    if (closed || target.isRemoved()) {
      return;
    }
    OutboundConnection connection = new OutboundConnection(this, target.address());
    target.setConnection(connection);
    ChannelFuture future =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(maxQueuedBytes / 2, maxQueuedBytes))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    connection.addTo(ch.pipeline());
                  }
                })
            .connect(target.address());
    future.addListener(
        done -> {
          if (!done.isSuccess()) {
            scheduleConnect(target);
          }
        });
  }

  private void scheduleConnect(PeerTarget target) {
    if (!closed && !target.isRemoved()) {
      long delayMs = target.nextDelayMs(random);
      group.next().schedule(() -> connect(target), delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void checkConnections() {
    long nowNanos = System.nanoTime();
    long intervalMs =
        Math.clamp(
            outbound.size() * 1_000L / MAX_HEARTBEATS_PER_SECOND, HEARTBEAT_MS, MAX_HEARTBEAT_MS);
    outbound.values().forEach(connection -> connection.checkHeartbeat(nowNanos, intervalMs));
    accepted.forEach(InboundConnection::closeIfSilent);
  }

  int maxFrameBytes() {
    return maxFrameBytes;
  }

  int maxQueuedBytes() {
    return maxQueuedBytes;
  }

  PeerCodec codec() {
    return codec;
  }

  PeerAuthenticator authenticator() {
    return authenticator;
  }

  PeerIdentity identity() {
    return identity.get();
  }

  void onInboundOpen(InboundConnection connection) {
    accepted.add(connection);
    if (closed) {
      connection.close();
    }
  }

  void onInboundReady(InboundConnection connection, PeerIdentity peer) {
    InboundConnection replaced = inbound.put(peer.nodeId(), connection);
    if (replaced != null) {
      replaced.close();
    }
    inboundListeners.forEach(listener -> listener.accept(peer));
  }

  void onInboundClosed(InboundConnection connection, PeerIdentity peer) {
    accepted.remove(connection);
    if (peer != null) {
      inbound.remove(peer.nodeId(), connection);
      disconnectedListeners.forEach(listener -> listener.accept(peer.nodeId()));
    }
  }

  /**
   * Registers a new connection as the one to its peer. Returns false when it leads to this node
   * itself or when there is another connection to the peer.
   */
  boolean registerOutbound(OutboundConnection connection, PeerIdentity peer) {
    if (peer.nodeId().equals(identity().nodeId())) {
      stopDialling(connection.address());
      return false;
    }
    OutboundConnection other = outbound.putIfAbsent(peer.nodeId(), connection);
    return other == null;
  }

  void onOutboundReady(PeerIdentity peer) {
    connectedListeners.forEach(listener -> listener.accept(peer));
  }

  void onOutboundClosed(OutboundConnection connection, PeerIdentity peer) {
    PeerTarget target = targets.get(connection.address());
    if (peer != null && outbound.remove(peer.nodeId(), connection)) {
      if (target != null) {
        target.resetBackoff();
      }
      disconnectedListeners.forEach(listener -> listener.accept(peer.nodeId()));
    }
    if (target != null) {
      scheduleConnect(target);
    }
  }

  void dispatch(String fromNodeId, PeerMessage message) {
    try {
      handlers.get(message.type()).onMessage(fromNodeId, message);
    } catch (MalformedFrameException e) {
      throw e;
    } catch (RuntimeException e) {
      stats.handlerFailures.increment();
      LOG.log(System.Logger.Level.ERROR, "peer-handler-failed " + message.type(), e);
    }
  }

  /** Closes all connections and stops accepting and opening new ones. */
  @Override
  public void close() {
    closed = true;
    connectionCheck.cancel(false);
    server.close().awaitUninterruptibly();
    targets.values().forEach(PeerTarget::remove);
    accepted.forEach(InboundConnection::close);
  }

  /** Builds and starts a {@link PeerLink}. */
  public static final class Builder {
    private EventLoopGroup group;
    private InetSocketAddress address;
    private Supplier<PeerIdentity> identity;
    private byte[] key;
    private int maxFrameBytes = 4 << 20;
    private int maxQueuedBytes = 4 << 20;
    private RandomGenerator random = RandomGenerator.getDefault();

    private Builder() {}

    /**
     * Sets the event loops.
     *
     * @param group the event loops of the connections
     * @return this builder
     */
    public Builder group(EventLoopGroup group) {
      this.group = group;
      return this;
    }

    /**
     * Sets the address at which peers are accepted.
     *
     * @param address the address; with port 0 a free port is chosen
     * @return this builder
     */
    public Builder address(InetSocketAddress address) {
      this.address = address;
      return this;
    }

    /**
     * Sets the identity that this node sends to peers.
     *
     * @param identity called for each handshake, since the epoch may increase
     * @return this builder
     */
    public Builder identity(Supplier<PeerIdentity> identity) {
      this.identity = identity;
      return this;
    }

    /**
     * Sets the key that all nodes share.
     *
     * @param key the key, or null to accept peers without authentication
     * @return this builder
     */
    public Builder key(byte[] key) {
      this.key = key == null ? null : key.clone();
      return this;
    }

    /**
     * Sets the maximum size of a received frame.
     *
     * @param maxFrameBytes bytes, without the length field
     * @return this builder
     */
    public Builder maxFrameBytes(int maxFrameBytes) {
      this.maxFrameBytes = maxFrameBytes;
      return this;
    }

    /**
     * Sets how many bytes may be queued for each peer before sends are refused.
     *
     * @param maxQueuedBytes bytes
     * @return this builder
     */
    public Builder maxQueuedBytes(int maxQueuedBytes) {
      this.maxQueuedBytes = maxQueuedBytes;
      return this;
    }

    /**
     * Sets the random generator for the jitter of reconnection delays.
     *
     * @param random a generator that may be used from several threads
     * @return this builder
     */
    public Builder random(RandomGenerator random) {
      this.random = random;
      return this;
    }

    /**
     * Starts listening for peers.
     *
     * @return the started link
     * @throws io.netty.channel.ChannelException when the address can't be bound
     */
    public PeerLink start() {
      return new PeerLink(this);
    }
  }
}
