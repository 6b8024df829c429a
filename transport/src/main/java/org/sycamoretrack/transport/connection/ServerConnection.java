package org.sycamoretrack.transport.connection;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Channel handler for the server side of one connection. Assembles requests, passes them to the
 * {@link HttpHandler} one at a time, and rejects requests that exceed a limit. The error response
 * to a rejected request follows those to the requests before it and ends the connection.
 *
 * <p>Invariant: at most one exchange is in progress. Requests that arrive meanwhile are queued in
 * {@link #pipelined}, which holds at most {@link #MAX_PIPELINED}.
 */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final int MAX_PIPELINED = 16;
  private static final System.Logger LOG = System.getLogger(ServerConnection.class.getName());

  private final ServerState server;
  private final Queue<ServerExchange> pipelined = new ArrayDeque<>();
  private HttpRequest head;
  private CompositeByteBuf body;
  private ScheduledFuture<?> requestTimer;
  private ServerExchange current;
  private HttpResponse rejection;
  private boolean closing;

  ServerConnection(ServerState server) {
    this.server = server;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (closing) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      rejectMalformed(ctx, message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpRequest request) {
      beginRequest(ctx, request);
    }
    if (message instanceof HttpContent content && head != null) {
      appendBody(ctx, content);
    }
  }

  private void rejectMalformed(ChannelHandlerContext ctx, Throwable cause) {
    boolean tooLarge = cause instanceof io.netty.handler.codec.TooLongFrameException;
    if (tooLarge) {
      reject(ctx, 413, "too-large", "a header or the request line is larger than its limit");
    } else {
      reject(ctx, 400, "invalid-request", "the request is not valid HTTP");
    }
  }

  private void beginRequest(ChannelHandlerContext ctx, HttpRequest request) {
    head = request;
    body = ctx.alloc().compositeBuffer(Integer.MAX_VALUE);
    requestTimer =
        ctx.executor()
            .schedule(
                () -> onRequestTimeout(ctx), server.requestTimeoutMs(), TimeUnit.MILLISECONDS);
    if (HttpUtil.is100ContinueExpected(request)) {
      ctx.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void appendBody(ChannelHandlerContext ctx, HttpContent content) {
    if (body.readableBytes() + content.content().readableBytes() > server.maxBodyBytes()) {
      reject(ctx, 413, "too-large", "the body is larger than " + server.maxBodyBytes() + " bytes");
      return;
    }
    body.addComponent(true, content.content().retain());
    if (content instanceof LastHttpContent) {
      completeRequest(ctx);
    }
  }

  private void completeRequest(ChannelHandlerContext ctx) {
    requestTimer.cancel(false);
    byte[] bytes = ByteBufUtil.getBytes(body);
    ServerExchange exchange = new ServerExchange(this, ctx, head, bytes);
    releaseRequest();
    if (current == null) {
      dispatch(exchange);
    } else if (pipelined.size() < MAX_PIPELINED) {
      pipelined.add(exchange);
    } else {
      reject(ctx, 429, "overloaded", "too many pipelined requests on the connection");
    }
  }

  private void dispatch(ServerExchange exchange) {
    current = exchange;
    server.inFlight().incrementAndGet();
    try {
      server.handler().handle(exchange);
    } catch (RuntimeException | Error e) {
      LOG.log(System.Logger.Level.ERROR, "handler-failed", e);
      exchange.respond(errorResponse(500, "internal", "unknown", "the request handler failed"));
    }
  }

  /** Dispatches the next pipelined request after the response to the current one has been sent. */
  void onResponseSent(ChannelHandlerContext ctx, boolean keepAlive) {
    endCurrent();
    if (!keepAlive) {
      closing = true;
      ctx.channel().close();
      return;
    }
    ServerExchange next = pipelined.poll();
    if (next != null) {
      dispatch(next);
    } else if (rejection != null) {
      sendRejection(ctx);
    }
  }

  private void endCurrent() {
    if (current != null) {
      current = null;
      server.inFlight().decrementAndGet();
    }
  }

  /** Closes the connection unless a request is in progress or has arrived in part. */
  void closeIfIdle(Channel channel) {
    if (current == null && head == null) {
      closing = true;
      channel.close();
    }
  }

  /** Refuses a request that has arrived in part, unless another one is in progress. */
  void refuseIfIncomplete(Channel channel) {
    if (current == null && head != null) {
      reject(channel.pipeline().context(this), 503, "stopping", "the node is stopping");
    }
  }

  /** Returns whether the connection is to be closed after the current response. */
  boolean closesAfterResponse() {
    return server.isDraining() && pipelined.isEmpty() && rejection == null;
  }

  private void onRequestTimeout(ChannelHandlerContext ctx) {
    if (head != null) {
      reject(ctx, 408, "request-timeout", "the request was not complete in time");
    }
  }

  private void reject(ChannelHandlerContext ctx, int status, String code, String message) {
    closing = true;
    releaseRequest();
    rejection = errorResponse(status, code, "not-run", message);
    if (current == null) {
      sendRejection(ctx);
    }
  }

  private void sendRejection(ChannelHandlerContext ctx) {
    ctx.writeAndFlush(ServerExchange.fullResponse(rejection, false))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private static HttpResponse errorResponse(
      int status, String code, String outcome, String message) {
    return HttpResponse.json(
        status,
        Json.object()
            .set(
                "error",
                Json.mapper()
                    .valueToTree(Map.of("code", code, "outcome", outcome, "message", message))));
  }

  private void releaseRequest() {
    head = null;
    if (requestTimer != null) {
      requestTimer.cancel(false);
      requestTimer = null;
    }
    if (body != null) {
      body.release();
      body = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    releaseRequest();
    pipelined.clear();
    if (current != null) {
      current.onDisconnected();
      endCurrent();
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (current != null && ctx.channel().isWritable()) {
      current.onChannelWritable();
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // A client that resets its connection is no failure of this server.
    boolean reset = cause instanceof IOException;
    LOG.log(
        reset ? System.Logger.Level.DEBUG : System.Logger.Level.ERROR, "connection-failed", cause);
    ctx.close();
  }
}
