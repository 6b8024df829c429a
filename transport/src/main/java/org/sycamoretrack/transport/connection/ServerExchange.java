package org.sycamoretrack.transport.connection;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;
import org.sycamoretrack.transport.request.HttpResponseStream;

/**
 * One request on a {@link ServerConnection} and its response. All state is confined to the event
 * loop of the connection.
 */
final class ServerExchange implements HttpExchange, HttpResponseStream {
  private final ServerConnection connection;
  private final ChannelHandlerContext ctx;
  private final HttpRequest head;
  private final byte[] body;
  private boolean keepAlive;
  private boolean responseStarted;
  private boolean responseEnded;
  private boolean disconnected;
  private Runnable disconnectAction;
  private Runnable writableAction;

  ServerExchange(
      ServerConnection connection, ChannelHandlerContext ctx, HttpRequest head, byte[] body) {
    this.connection = connection;
    this.ctx = ctx;
    this.head = head;
    this.body = body;
    this.keepAlive = HttpUtil.isKeepAlive(head);
  }

  @Override
  public String method() {
    return head.method().name();
  }

  @Override
  public String path() {
    String uri = head.uri();
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  @Override
  public String target() {
    return head.uri();
  }

  @Override
  public String queryParam(String name) {
    List<String> values = new QueryStringDecoder(head.uri()).parameters().get(name);
    return values == null ? null : values.get(0);
  }

  @Override
  public HttpHeaders headers() {
    return head.headers();
  }

  @Override
  public byte[] body() {
    return body;
  }

  @Override
  public EventLoop eventLoop() {
    return ctx.channel().eventLoop();
  }

  @Override
  public void respond(HttpResponse response) {
    onLoop(() -> respondOnLoop(response));
  }

  private void respondOnLoop(HttpResponse response) {
    if (responseStarted || disconnected) {
      return;
    }
    responseStarted = true;
    responseEnded = true;
    keepAlive &= !connection.closesAfterResponse();
    ctx.writeAndFlush(fullResponse(response, keepAlive))
        .addListener(done -> connection.onResponseSent(ctx, keepAlive && done.isSuccess()));
  }

  static FullHttpResponse fullResponse(HttpResponse response, boolean keepAlive) {
    FullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            Unpooled.wrappedBuffer(response.body()));
    response.headers().forEach(message.headers()::set);
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
    if (!keepAlive) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return message;
  }

  @Override
  public HttpResponseStream startStream(int status, Map<String, String> headers) {
    onLoop(() -> startStreamOnLoop(status, headers));
    return this;
  }

  private void startStreamOnLoop(int status, Map<String, String> headers) {
    if (responseStarted || disconnected) {
      return;
    }
    responseStarted = true;
    keepAlive &= !connection.closesAfterResponse();
    DefaultHttpResponse message =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    headers.forEach(message.headers()::set);
    message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    if (!keepAlive) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    ctx.writeAndFlush(message);
  }

  @Override
  public void write(byte[] part) {
    onLoop(
        () -> {
          if (!responseEnded && !disconnected) {
            ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
          }
        });
  }

  @Override
  public void end() {
    onLoop(
        () -> {
          if (!responseEnded && !disconnected) {
            responseEnded = true;
            ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(done -> connection.onResponseSent(ctx, keepAlive && done.isSuccess()));
          }
        });
  }

  @Override
  public void abort() {
    onLoop(
        () -> {
          if (!responseEnded) {
            ctx.close();
          }
        });
  }

  @Override
  public boolean isWritable() {
    return ctx.channel().isWritable();
  }

  @Override
  public void onWritable(Runnable action) {
    onLoop(() -> writableAction = action);
  }

  @Override
  public void onClientDisconnect(Runnable action) {
    onLoop(
        () -> {
          if (disconnected) {
            action.run();
          } else {
            disconnectAction = action;
          }
        });
  }

  /** Called when the client has closed the connection. Has no effect on a complete response. */
  void onDisconnected() {
    if (responseEnded || disconnected) {
      return;
    }
    disconnected = true;
    if (disconnectAction != null) {
      disconnectAction.run();
    }
  }

  /** Called when the send buffer has drained and the channel is writable again. */
  void onChannelWritable() {
    if (writableAction != null) {
      writableAction.run();
    }
  }

  private void onLoop(Runnable action) {
    if (ctx.executor().inEventLoop()) {
      action.run();
    } else {
      ctx.executor().execute(action);
    }
  }
}
