package org.sycamoretrack.transport.connection;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.StrayResponse;

/**
 * Channel handler for the client side of one connection, which carries one call at a time.
 *
 * <p>A response with neither a content length nor chunked encoding ends where the connection
 * closes, which can't be distinguished from a crash of the server. Such a response is rejected as
 * malformed unless the request allows it.
 *
 * <p>A server may send an extra copy of a response late, where the response to the next request is
 * due, and the copy may break off. The bytes of the copy must not become part of the outcome of the
 * next request:
 *
 * <ul>
 *   <li>If the request names a header that the server echoes, a response whose echo differs is
 *       skipped.
 *   <li>If the next request has the same value, for example the same request sent again, or if the
 *       last response had no echo, a copy can't be told from the next response. Such a connection
 *       carries no further request with an echoed value ({@link #mayCarry}).
 *   <li>A copy that breaks off within its head is joined with the head of the next response. The
 *       result contains a second status line and is rejected as malformed.
 *   <li>A response that breaks off within its body is joined with its own copy. It is rejected if
 *       its body seems to contain a status line and bytes that start no response follow it in the
 *       same read. Therefore a response is complete only at the end of the read.
 * </ul>
 *
 * <p>A server may send bytes without end. The codec limits heads, trailers and chunk extensions;
 * skipped responses are limited in number, and in size like the response itself.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int MAX_SKIPPED_RESPONSES = 64;

  /** A status line, which starts a response. */
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

  private final InetSocketAddress address;
  private final Consumer<ClientConnection> onIdle;
  private final StrayResponse.Listener strayListener;
  private final ResponseDecoder decoder = new ResponseDecoder(this::isHeadRequest);
  private ChannelHandlerContext ctx;
  private ClientExchange exchange;
  private ClientExchange ended;
  private StatusLineScan bodyScan;
  private boolean keepAlive;
  private boolean skippingResponse;
  private int skippedResponses;
  private long skippedBytes;
  private boolean closing;
  private String lastEchoedValue;

  ClientConnection(
      InetSocketAddress address,
      Consumer<ClientConnection> onIdle,
      StrayResponse.Listener strayListener) {
    this.address = address;
    this.onIdle = onIdle;
    this.strayListener = strayListener;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    this.ctx = ctx;
  }

  boolean isActive() {
    return ctx.channel().isActive();
  }

  /** Returns the decoder of this connection's responses. */
  ResponseDecoder decoder() {
    return decoder;
  }

  private boolean isHeadRequest() {
    return exchange != null && exchange.request().method().equals("HEAD");
  }

  /** Returns whether no request is in progress. */
  boolean isIdle() {
    return exchange == null && ended == null;
  }

  void close() {
    closing = true;
    ctx.close();
  }

  /** Closes the connection because data has arrived although no request is in progress. */
  void closeForStrayData() {
    if (!closing) {
      strayListener.onStrayResponse(
          new StrayResponse(address, StrayResponse.Kind.NO_REQUEST, "", "", 0, ""));
    }
    close();
  }

  /** Returns whether a late copy of the last response could be told from that to a request. */
  boolean mayCarry(HttpRequest request) {
    String value = echoedValue(request);
    return value == null || (lastEchoedValue != null && !value.equals(lastEchoedValue));
  }

  /** Returns the value that the server echoes in the response, or null if there is none. */
  private static String echoedValue(HttpRequest request) {
    return request.echoedHeader() == null ? null : request.headers().get(request.echoedHeader());
  }

  /** Sends the request of a call. The connection must be open and carry no other call. */
  void send(ClientExchange newExchange) {
    exchange = newExchange;
    skippedResponses = 0;
    skippedBytes = 0;
    lastEchoedValue = echoedValue(newExchange.request());
    newExchange.attachChannel(ctx.channel());
    ctx.writeAndFlush(encode(newExchange.request()))
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                fail(HttpException.Kind.CLOSED_EARLY, "the request could not be written");
              }
            });
  }

  private static FullHttpRequest encode(HttpRequest request) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method()),
            request.target(),
            Unpooled.wrappedBuffer(request.body()));
    request.headers().forEach(message.headers()::set);
    InetSocketAddress address = request.address();
    if (!message.headers().contains(HttpHeaderNames.HOST)) {
      String host = address.getAddress().getHostAddress() + ":" + address.getPort();
      message.headers().set(HttpHeaderNames.HOST, host);
    }
    if (request.body().length > 0 || !request.method().equals("GET")) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    return message;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (closing) {
      return;
    }
    if (ended != null) {
      onDataAfterEnd(message instanceof HttpResponse && message.decoderResult().isSuccess());
      return;
    }
    if (exchange == null) {
      closeForStrayData();
      return;
    }
    exchange.onRead();
    if (message.decoderResult().isFailure()) {
      fail(
          HttpException.Kind.MALFORMED,
          message.decoderResult().cause() instanceof HttpException failure
              ? failure.getMessage()
              : "the response is not valid HTTP");
      return;
    }
    if (message instanceof HttpResponse response && !onHead(response)) {
      return;
    }
    if (message instanceof HttpContent content) {
      if (skippingResponse) {
        skip(content);
      } else {
        onContent(content);
      }
    }
  }

  private void skip(HttpContent content) {
    skippedBytes += content.content().readableBytes();
    if (skippedBytes > exchange.request().maxResponseBytes()) {
      fail(HttpException.Kind.TOO_LARGE, "the responses to other requests are too large");
    }
  }

  /** Returns whether the content that follows is the body of the response to this request. */
  private boolean onHead(HttpResponse response) {
    if (isJoined(response)) {
      reportStray(StrayResponse.Kind.JOINED_HEAD, response);
      fail(HttpException.Kind.MALFORMED, "the head is joined from two responses");
      return false;
    }
    boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    boolean earlier = isResponseToEarlierRequest(response);
    skippingResponse = informational || earlier;
    if (earlier) {
      reportStray(StrayResponse.Kind.OTHER_REQUEST, response);
    }
    boolean lengthDefined = isBodiless(response) || hasDefinedLength(response);
    boolean lengthRequired = skippingResponse || !exchange.request().allowsCloseDelimitedBody();
    if (!lengthDefined && !informational && lengthRequired) {
      fail(
          HttpException.Kind.MALFORMED,
          "the response has neither a content length nor chunked encoding");
      return false;
    }
    if (skippingResponse) {
      skippedResponses++;
      if (skippedResponses > MAX_SKIPPED_RESPONSES) {
        fail(HttpException.Kind.TOO_LARGE, "too many responses precede the one to the request");
      }
      return false;
    }
    int status = response.status().code();
    boolean reusable = exchange.request().headListener().onHead(status, response.headers());
    keepAlive =
        reusable && lengthDefined && isIdentified(response) && HttpUtil.isKeepAlive(response);
    bodyScan = new StatusLineScan();
    exchange.listener().onHead(status, response.headers());
    return true;
  }

  /** Returns whether a head contains the status line of another response. */
  private static boolean isJoined(HttpResponse response) {
    return containsStatusLine(response.status().reasonPhrase())
        || response.headers().entries().stream()
            .anyMatch(header -> containsStatusLine(header.getValue()));
  }

  private static boolean containsStatusLine(String text) {
    return STATUS_LINE.matcher(text).find();
  }

  private void reportStray(StrayResponse.Kind kind, HttpResponse response) {
    HttpRequest request = exchange.request();
    String responseId =
        request.echoedHeader() == null ? null : response.headers().get(request.echoedHeader());
    strayListener.onStrayResponse(
        new StrayResponse(
            address,
            kind,
            request.target(),
            Objects.requireNonNullElse(echoedValue(request), ""),
            response.status().code(),
            Objects.requireNonNullElse(responseId, "")));
  }

  private boolean isResponseToEarlierRequest(HttpResponse response) {
    String name = exchange.request().echoedHeader();
    String echoed = name == null ? null : response.headers().get(name);
    return echoed != null && !echoed.equals(echoedValue(exchange.request()));
  }

  /** Returns whether a late copy of a response could be told from other responses by its echo. */
  private boolean isIdentified(HttpResponse response) {
    HttpRequest request = exchange.request();
    return echoedValue(request) == null || response.headers().contains(request.echoedHeader());
  }

  private boolean isBodiless(HttpResponse response) {
    int status = response.status().code();
    return status == NO_CONTENT || status == NOT_MODIFIED || isHeadRequest();
  }

  private static boolean hasDefinedLength(HttpResponse response) {
    return HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
  }

  private void onContent(HttpContent content) {
    if (exchange != null && !exchange.isFinished() && content.content().isReadable()) {
      bodyScan.scan(content.content());
      exchange.listener().onBody(content.content());
    }
    if (content instanceof LastHttpContent && exchange != null) {
      onEnd();
    }
  }

  /** The response is complete unless what follows in the same read shows that it isn't. */
  private void onEnd() {
    ended = exchange;
    exchange = null;
  }

  private void onDataAfterEnd(boolean startsResponse) {
    ClientExchange suspect = ended;
    ended = null;
    closeForStrayData();
    if (!startsResponse && bodyScan.mayContainStatusLine()) {
      suspect.fail(
          new HttpException(
              HttpException.Kind.MALFORMED, true, "the body is joined from two responses"));
    } else {
      suspect.succeed();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (ended != null && decoder.hasRemainingBytes()) {
      onDataAfterEnd(false);
    } else {
      completeEnded();
    }
    context.fireChannelReadComplete();
  }

  private void completeEnded() {
    if (ended == null) {
      return;
    }
    ClientExchange complete = ended;
    ended = null;
    if (keepAlive && !complete.isFinished()) {
      ctx.channel().config().setAutoRead(true);
      onIdle.accept(this);
    } else {
      close();
    }
    complete.succeed();
  }

  private void fail(HttpException.Kind kind, String message) {
    ClientExchange failed = exchange;
    exchange = null;
    close();
    if (failed != null) {
      failed.fail(new HttpException(kind, true, message));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    completeEnded();
    fail(HttpException.Kind.CLOSED_EARLY, "the connection closed before the response was complete");
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof HttpException failure) {
      fail(failure.kind(), failure.getMessage());
    } else {
      fail(HttpException.Kind.CLOSED_EARLY, "the connection failed: " + cause.getMessage());
    }
  }
}
