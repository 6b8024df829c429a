package org.sycamoretrack.daemon.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.concurrent.TimeUnit;

/**
 * The common part of inbound and outbound connections: receives and decodes frames and records when
 * the last one arrived.
 *
 * <p>Until the handshake is complete, frames are limited to {@value #MAX_HANDSHAKE_BYTES} bytes, so
 * that an unauthenticated client can't make the node allocate more. A frame that can't be decoded
 * closes the connection.
 */
abstract class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {
  private static final int MAX_HANDSHAKE_BYTES = 4_096;
  private static final String FRAME_DECODER = "frames";

  final PeerLink link;
  private volatile long lastReadNanos = System.nanoTime();
  private volatile Channel channel;
  private boolean handshakeComplete;

  PeerConnection(PeerLink link) {
    this.link = link;
  }

  final void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(FRAME_DECODER, frameDecoder(MAX_HANDSHAKE_BYTES)).addLast(this);
  }

  private static LengthFieldBasedFrameDecoder frameDecoder(int maxBytes) {
    return new LengthFieldBasedFrameDecoder(
        maxBytes, 0, PeerCodec.LENGTH_BYTES, 0, PeerCodec.LENGTH_BYTES);
  }

  /** Raises the limit of frames to the full size once the peer is authenticated. */
  final void completeHandshake() {
    handshakeComplete = true;
    channel.pipeline().replace(FRAME_DECODER, FRAME_DECODER, frameDecoder(link.maxFrameBytes()));
    link.stats().connectionsOpened.increment();
  }

  final Channel channel() {
    return channel;
  }

  final long silentMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastReadNanos);
  }

  final void write(PeerMessage message) {
    ByteBuf frame = link.codec().encode(channel.alloc(), message);
    link.stats().bytesSent.add(frame.readableBytes());
    channel.writeAndFlush(frame);
  }

  final void close() {
    Channel current = channel;
    if (current != null) {
      current.close();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    lastReadNanos = System.nanoTime();
    onOpen();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    onClosed();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
    lastReadNanos = System.nanoTime();
    PeerLinkStats stats = link.stats();
    stats.framesReceived.increment();
    stats.bytesReceived.add(PeerCodec.LENGTH_BYTES + frame.readableBytes());
    PeerMessage message = link.codec().decode(frame);
    if (message != null) {
      onMessage(message);
    } else if (handshakeComplete) {
      stats.unknownTypes.increment();
    } else {
      throw new MalformedFrameException("a message arrived before the end of the handshake");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof MalformedFrameException || cause instanceof DecoderException) {
      link.stats().malformedFrames.increment();
    }
    ctx.close();
  }

  abstract void onOpen();

  abstract void onMessage(PeerMessage message);

  abstract void onClosed();
}
