package org.sycamoretrack.transport.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import org.sycamoretrack.core.connection.MemoryBudget;
import org.sycamoretrack.transport.request.HttpCall;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;
import org.sycamoretrack.transport.request.HttpResponseListener;
import org.sycamoretrack.transport.request.StrayResponse;

/**
 * An HTTP/1.1 client over Netty's codec, with a pool of idle connections for each event loop.
 *
 * <p>Each call is bound to one event loop: the one passed to {@link #send(HttpRequest,
 * HttpResponseListener, EventLoop)}, or else the next one of the group. Connections are only reused
 * on the event loop that opened them, so the pool needs no lock. The client never retries a
 * request: after a connection failure the caller decides whether to send it again, based on {@link
 * HttpException#maybeSent()}.
 *
 * <p>A connection is read once in an iteration of its event loop, so that servers which send
 * without end don't keep the loop from the other connections.
 */
public final class HttpClient {
  private static final int MAX_IDLE_PER_ADDRESS = 64;
  private static final System.Logger LOG = System.getLogger(HttpClient.class.getName());

  private final EventLoopGroup group;
  private final int connectTimeoutMs;
  private final StrayResponse.Listener strayListener;
  private final MemoryBudget responseMemory;
  private final Map<EventLoop, Map<InetSocketAddress, Deque<ClientConnection>>> idle =
      new ConcurrentHashMap<>();

  /**
   * Creates a client that logs stray responses and doesn't limit the memory for all responses.
   *
   * @param group the event loops that handle its connections
   * @param connectTimeoutMs the timeout for opening a connection, in milliseconds
   */
  public HttpClient(EventLoopGroup group, int connectTimeoutMs) {
    this(group, connectTimeoutMs, new MemoryBudget(Long.MAX_VALUE));
  }

  /**
   * Creates a client that logs stray responses.
   *
   * @param group the event loops that handle its connections
   * @param connectTimeoutMs the timeout for opening a connection, in milliseconds
   * @param responseMemory limits the memory for the responses that are being collected
   */
  public HttpClient(EventLoopGroup group, int connectTimeoutMs, MemoryBudget responseMemory) {
    this(
        group,
        connectTimeoutMs,
        response -> LOG.log(System.Logger.Level.INFO, "stray response: {0}", response),
        responseMemory);
  }

  /**
   * Creates a client.
   *
   * @param group the event loops that handle its connections
   * @param connectTimeoutMs the timeout for opening a connection, in milliseconds
   * @param strayListener receives the data that isn't the response to a request of this client
   * @param responseMemory limits the memory for the responses that are being collected
   */
  public HttpClient(
      EventLoopGroup group,
      int connectTimeoutMs,
      StrayResponse.Listener strayListener,
      MemoryBudget responseMemory) {
    this.group = group;
    this.connectTimeoutMs = connectTimeoutMs;
    this.strayListener = strayListener;
    this.responseMemory = responseMemory;
  }

  /**
   * Sends a request on any event loop.
   *
   * @param request the request
   * @param listener receives the response
   * @return the call
   */
  public HttpCall send(HttpRequest request, HttpResponseListener listener) {
    return send(request, listener, group.next());
  }

  /**
   * Sends a request.
   *
   * @param request the request
   * @param listener receives the response, on the event loop
   * @param loop an event loop of this client's group
   * @return the call
   */
  public HttpCall send(HttpRequest request, HttpResponseListener listener, EventLoop loop) {
    ClientExchange exchange =
        new ClientExchange(request, listener, loop, () -> closeIdle(loop, request.address()));
    if (loop.inEventLoop()) {
      sendOnLoop(exchange, loop);
    } else {
      loop.execute(() -> sendOnLoop(exchange, loop));
    }
    return exchange;
  }

  /**
   * Sends a request and collects the whole response in memory.
   *
   * @param request the request
   * @return completes with the response, whatever its status, or fails with {@link HttpException}
   */
  public CompletableFuture<HttpResponse> call(HttpRequest request) {
    CompletableFuture<HttpResponse> future = new CompletableFuture<>();
    HttpCall call =
        sendAndCollect(
            request,
            (response, failure) -> {
              if (failure == null) {
                future.complete(response);
              } else {
                future.completeExceptionally(failure);
              }
            });
    future.whenComplete(
        (response, failure) -> {
          if (failure != null) {
            call.cancel();
          }
        });
    return future;
  }

  /**
   * Sends a request and collects the whole response in memory. Unlike {@link #call}, returns the
   * call, which can be cancelled.
   *
   * @param request the request
   * @param onOutcome receives either the response or the failure, on the event loop
   * @return the call
   */
  public HttpCall sendAndCollect(
      HttpRequest request, BiConsumer<HttpResponse, HttpException> onOutcome) {
    return send(
        request, new ResponseCollector(onOutcome, request.maxResponseBytes(), responseMemory));
  }

  /**
   * Closes the idle connections to an address, on all event loops.
   *
   * @param address the address
   */
  public void closeIdle(InetSocketAddress address) {
    idle.keySet().forEach(loop -> loop.execute(() -> closeIdle(loop, address)));
  }

  /**
   * Closes the idle connections to an address. Called when a call has timed out: if one connection
   * stopped responding without being closed, others to the same address probably have too, so later
   * calls open new connections.
   */
  void closeIdle(EventLoop loop, InetSocketAddress address) {
    Deque<ClientConnection> connections = idleConnections(loop, address);
    List.copyOf(connections).forEach(ClientConnection::close);
    connections.clear();
  }

  private void sendOnLoop(ClientExchange exchange, EventLoop loop) {
    if (exchange.isFinished()) {
      return;
    }
    ClientConnection connection =
        exchange.request().freshConnection() ? null : takeIdle(exchange.request(), loop);
    if (connection == null) {
      connect(exchange, loop);
    } else {
      connection.send(exchange);
    }
  }

  /** Returns an idle connection that can carry a request, or null when there is none. */
  private ClientConnection takeIdle(HttpRequest request, EventLoop loop) {
    Deque<ClientConnection> connections = idleConnections(loop, request.address());
    connections.removeIf(connection -> !connection.isActive());
    ClientConnection usable =
        connections.stream()
            .filter(connection -> connection.mayCarry(request))
            .findFirst()
            .orElse(null);
    connections.remove(usable);
    return usable;
  }

  private Deque<ClientConnection> idleConnections(EventLoop loop, InetSocketAddress address) {
    return idle.computeIfAbsent(loop, key -> new HashMap<>())
        .computeIfAbsent(address, key -> new ArrayDeque<>());
  }

  private void connect(ClientExchange exchange, EventLoop loop) {
    InetSocketAddress address = exchange.request().address();
    ClientConnection connection =
        new ClientConnection(
            address, completed -> release(completed, loop, address), strayListener);
    ChannelFuture future =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(1))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    ch.pipeline()
                        .addLast(new IdleDataGuard(connection))
                        .addLast(new HttpRequestEncoder())
                        .addLast(connection.decoder())
                        .addLast(connection);
                  }
                })
            .connect(address);
    future.addListener(done -> onConnected(future.channel(), connection, exchange, done.cause()));
  }

  private static void onConnected(
      Channel channel, ClientConnection connection, ClientExchange exchange, Throwable cause) {
    if (cause != null) {
      exchange.fail(
          new HttpException(
              HttpException.Kind.CONNECT_FAILED, false, "connect failed: " + cause.getMessage()));
    } else if (exchange.isFinished()) {
      channel.close();
    } else {
      connection.send(exchange);
    }
  }

  private void release(ClientConnection connection, EventLoop loop, InetSocketAddress address) {
    Deque<ClientConnection> connections = idleConnections(loop, address);
    if (connections.size() < MAX_IDLE_PER_ADDRESS) {
      connections.addFirst(connection);
    } else {
      connection.close();
    }
  }
}
