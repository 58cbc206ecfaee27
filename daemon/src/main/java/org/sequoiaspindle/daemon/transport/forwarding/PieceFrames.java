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
 * Frames of a 4-byte length and a message on a connection between instances. A frame that cannot be
 * read closes the connection.
 */
final class PieceFrames extends SimpleChannelInboundHandler<ByteBuf> {

    private static final int LENGTH_BYTES = 4;

    /** A piece with a few thousand inputs fits. */
    private static final int MAX_FRAME_BYTES = 256 * 1024;

    /** Most frames that are written in one system call; a request has about ten pieces a stage. */
    private static final int FLUSHES_TOGETHER = 64;

    private final BiConsumer<Channel, PieceMessage> received;
    private final Consumer<Channel> closed;

    private PieceFrames(BiConsumer<Channel, PieceMessage> received, Consumer<Channel> closed) {
        this.received = received;
        this.closed = closed;
    }

    static void install(
            Channel channel, BiConsumer<Channel, PieceMessage> received, Consumer<Channel> closed) {
        channel.pipeline()
                .addLast(new FlushConsolidationHandler(FLUSHES_TOGETHER, true))
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new PieceFrames(received, closed));
    }

    static void send(Channel channel, PieceMessage message) {
        byte[] content = PieceMessageCodec.write(message);
        ByteBuf frame = channel.alloc().buffer(LENGTH_BYTES + content.length);
        frame.writeInt(content.length).writeBytes(content);
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        byte[] content = new byte[frame.readableBytes()];
        frame.readBytes(content);
        Either<String, PieceMessage> message = PieceMessageCodec.read(content);
        if (message.isLeft()) {
            context.close();
            return;
        }
        received.accept(context.channel(), message.get());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closed.accept(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
