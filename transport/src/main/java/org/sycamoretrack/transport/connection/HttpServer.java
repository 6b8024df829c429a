package org.sycamoretrack.transport.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.BiConsumer;
import org.sycamoretrack.transport.request.HttpHandler;

/**
 * An HTTP/1.1 server over Netty's codec.
 *
 * <p>The requests of a connection are handled one at a time, in order of arrival. A request whose
 * header or body exceeds its limit, or that doesn't arrive in time, gets an error response, and its
 * connection is closed.
 */
public final class HttpServer implements AutoCloseable {
  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int ACCEPT_BACKLOG = 1_024;
  private static final int MAX_WRITES_PER_FLUSH = 64;

  private final Channel channel;
  private final ChannelGroup connections;
  private final ServerState state;

  private HttpServer(Channel channel, ChannelGroup connections, ServerState state) {
    this.channel = channel;
    this.connections = connections;
    this.state = state;
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the address that the server listens on, with the port it is bound to. */
  public InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** Stops accepting connections. Open connections stay in use. */
  public void stopAccepting() {
    channel.close().awaitUninterruptibly();
  }

  /**
   * Closes each connection after its next response, which says so. Connections are still accepted,
   * and requests that arrive on them are handled.
   */
  public void closeAfterResponses() {
    state.drain();
  }

  /**
   * Stops accepting connections and closes each open connection after its next response. Requests
   * that arrive on open connections until then are handled.
   */
  public void drain() {
    closeAfterResponses();
    stopAccepting();
  }

  /** Closes the connections on which no request is in progress or being received. */
  public void closeIdleConnections() {
    onEachConnection(ServerConnection::closeIfIdle);
  }

  /** Refuses the requests that have arrived in part as not run, and closes their connections. */
  public void refuseIncompleteRequests() {
    onEachConnection(ServerConnection::refuseIfIncomplete);
  }

  private void onEachConnection(BiConsumer<ServerConnection, Channel> action) {
    for (Channel connection : connections) {
      ServerConnection handler = connection.pipeline().get(ServerConnection.class);
      if (handler != null) {
        connection.eventLoop().execute(() -> action.accept(handler, connection));
      }
    }
  }

  /** Returns the number of requests being handled. */
  public int inFlightCount() {
    return state.inFlight().get();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /** Stops accepting connections and closes the open ones. */
  @Override
  public void close() {
    stopAccepting();
    connections.close().awaitUninterruptibly();
  }

  /** Builds and starts a {@link HttpServer}. */
  public static final class Builder {
    private EventLoopGroup group;
    private InetSocketAddress address;
    private HttpHandler handler;
    private int maxBodyBytes = 4 << 20;
    private int maxHeaderBytes = 16 << 10;
    private int requestTimeoutMs = 10_000;

    private Builder() {}

    /**
     * Sets the event loops.
     *
     * @param group the event loops that handle the connections
     * @return this builder
     */
    public Builder group(EventLoopGroup group) {
      this.group = group;
      return this;
    }

    /**
     * Sets the address to listen on.
     *
     * @param address the address; port 0 selects a free port
     * @return this builder
     */
    public Builder address(InetSocketAddress address) {
      this.address = address;
      return this;
    }

    /**
     * Sets the request handler.
     *
     * @param handler the handler of all requests
     * @return this builder
     */
    public Builder handler(HttpHandler handler) {
      this.handler = handler;
      return this;
    }

    /**
     * Sets the maximum size of a request body.
     *
     * @param maxBodyBytes the maximum in bytes
     * @return this builder
     */
    public Builder maxBodyBytes(int maxBodyBytes) {
      this.maxBodyBytes = maxBodyBytes;
      return this;
    }

    /**
     * Sets the maximum total size of the headers of a request.
     *
     * @param maxHeaderBytes the maximum in bytes
     * @return this builder
     */
    public Builder maxHeaderBytes(int maxHeaderBytes) {
      this.maxHeaderBytes = maxHeaderBytes;
      return this;
    }

    /**
     * Sets the timeout for receiving a complete request, counted from the end of its header.
     *
     * @param requestTimeoutMs the timeout in milliseconds
     * @return this builder
     */
    public Builder requestTimeoutMs(int requestTimeoutMs) {
      this.requestTimeoutMs = requestTimeoutMs;
      return this;
    }

    /**
     * Starts listening.
     *
     * @return the running server
     * @throws io.netty.channel.ChannelException if the address can't be bound
     */
    public HttpServer start() {
      Objects.requireNonNull(group, "group");
      Objects.requireNonNull(handler, "handler");
      ServerState state = new ServerState(handler, maxBodyBytes, requestTimeoutMs);
      ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
      HttpDecoderConfig config =
          new HttpDecoderConfig()
              .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
              .setMaxHeaderSize(maxHeaderBytes);
      ServerBootstrap bootstrap =
          new ServerBootstrap()
              .group(group)
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
              .option(ChannelOption.SO_REUSEADDR, true)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childHandler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                      connections.add(ch);
                      ch.pipeline()
                          .addLast(new FlushConsolidationHandler(MAX_WRITES_PER_FLUSH, true))
                          .addLast(new HttpServerCodec(config))
                          .addLast(new ServerConnection(state));
                    }
                  });
      Channel channel = bootstrap.bind(address).syncUninterruptibly().channel();
      return new HttpServer(channel, connections, state);
    }
  }
}
