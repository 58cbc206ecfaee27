package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.vavr.control.Either;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sequoiaspindle.core.protocol.forwarding.PieceMessage;
import org.sequoiaspindle.core.protocol.forwarding.PieceMessageCodec;

/**
 * Handles frames on a connection between instances. A frame consists of a 4-byte length and a
 * message. A malformed frame closes the connection.
 */
final class PieceFrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

    private static final int LENGTH_BYTES = 4;

    /** Sufficient for a piece with a few thousand inputs. */
    private static final int MAX_FRAME_BYTES = 256 * 1024;

    /** Maximum frames written in one system call; a request has about ten pieces in each stage. */
    private static final int MAX_FLUSHES_PER_WRITE = 64;

    private final BiConsumer<Channel, PieceMessage> onMessage;
    private final Consumer<Channel> onClosed;

    private PieceFrameHandler(
            BiConsumer<Channel, PieceMessage> onMessage, Consumer<Channel> onClosed) {
        this.onMessage = onMessage;
        this.onClosed = onClosed;
    }

    static void install(
            Channel channel,
            BiConsumer<Channel, PieceMessage> onMessage,
            Consumer<Channel> onClosed) {
        channel.pipeline()
                .addLast(new FlushConsolidationHandler(MAX_FLUSHES_PER_WRITE, true))
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new PieceFrameHandler(onMessage, onClosed));
    }

    static void send(Channel channel, PieceMessage message) {
        byte[] content = PieceMessageCodec.encode(message);
        ByteBuf frame = channel.alloc().buffer(LENGTH_BYTES + content.length);
        frame.writeInt(content.length).writeBytes(content);
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        byte[] content = new byte[frame.readableBytes()];
        frame.readBytes(content);
        Either<String, PieceMessage> message = PieceMessageCodec.decode(content);
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
