package org.sequoiaspindle.daemon.transport.frame;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.vavr.control.Either;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Handles frames on a connection between instances. A frame consists of a 4-byte length and a
 * message. A malformed frame closes the connection.
 */
public final class FrameHandler<M> extends SimpleChannelInboundHandler<ByteBuf> {

    private static final int LENGTH_BYTES = 4;

    /** Maximum frames written in one system call; a request has about ten pieces in each stage. */
    private static final int MAX_FLUSHES_PER_WRITE = 64;

    private final FrameFormat<M> format;
    private final BiConsumer<Channel, M> onMessage;
    private final Consumer<Channel> onClosed;

    private FrameHandler(
            FrameFormat<M> format, BiConsumer<Channel, M> onMessage, Consumer<Channel> onClosed) {
        this.format = format;
        this.onMessage = onMessage;
        this.onClosed = onClosed;
    }

    /** Installs a handler on a new connection. */
    public static <M> void install(
            Channel channel,
            FrameFormat<M> format,
            BiConsumer<Channel, M> onMessage,
            Consumer<Channel> onClosed) {
        channel.pipeline()
                .addLast(new FlushConsolidationHandler(MAX_FLUSHES_PER_WRITE, true))
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                format.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new FrameHandler<>(format, onMessage, onClosed));
    }

    /** Sends a message; a failure closes the connection. */
    public static <M> void send(Channel channel, FrameFormat<M> format, M message) {
        byte[] content = format.encoder().apply(message);
        ByteBuf frame = channel.alloc().buffer(LENGTH_BYTES + content.length);
        frame.writeInt(content.length).writeBytes(content);
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        byte[] content = new byte[frame.readableBytes()];
        frame.readBytes(content);
        Either<String, M> message = format.decoder().apply(content);
        if (message.isLeft()) {
            ctx.close();
            return;
        }
        onMessage.accept(ctx.channel(), message.get());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onClosed.accept(ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
