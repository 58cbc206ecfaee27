package org.sequoiaspindle.standins.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Writes the data received on one socket to the destination socket. */
final class SocketRelay extends ChannelInboundHandlerAdapter {

    private final Channel destination;
    private final Runnable onWritabilityChange;

    SocketRelay(Channel destination, Runnable onWritabilityChange) {
        this.destination = destination;
        this.onWritabilityChange = onWritabilityChange;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        destination.writeAndFlush(bytes);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        onWritabilityChange.run();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        // Closing after an empty write flushes the data that is still queued.
        destination.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
