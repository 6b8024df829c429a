package org.sycamoretrack.transport.connection;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes an idle client connection as soon as a byte arrives on it. Comes before the decoder, which
 * would keep the beginning of a head until the rest arrives with the response to the next request.
 */
final class IdleDataGuard extends ChannelInboundHandlerAdapter {
  private final ClientConnection connection;

  IdleDataGuard(ClientConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (connection.isIdle()) {
      ReferenceCountUtil.release(message);
      connection.closeForStrayData();
    } else {
      ctx.fireChannelRead(message);
    }
  }
}
