package org.sequoiaspindle.daemon.transport.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.protocol.peer.LinkCallbacks;
import org.sequoiaspindle.core.protocol.peer.PeerLink;
import org.sequoiaspindle.core.protocol.peer.PeerMessage;
import org.sequoiaspindle.core.protocol.peer.PeerMessageReader;
import org.sequoiaspindle.core.protocol.peer.PeerMessageWriter;
import org.sequoiaspindle.daemon.transport.peer.ByteCounter.Traffic;

/**
 * Netty handler of one TCP connection to a peer, which converts between frames and messages. A
 * malformed frame closes this connection only.
 */
final class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> {

    private static final int LENGTH_BYTES = 4;

    /**
     * Largest frame before the peer has proved that it knows the secret; bounds the memory that
     * unauthenticated connections can allocate.
     */
    private static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;

    private static final String FRAME_DECODER = "decoder";

    private final LinkCallbacks callbacks;
    private final EventLog eventLog;
    private final ByteCounter sentBytes;
    private final ByteCounter receivedBytes;
    private final PeerLink link;
    private final Channel channel;
    private final AtomicBoolean rejectionLogged = new AtomicBoolean();

    private PeerChannel(
            Channel channel,
            String remote,
            LinkCallbacks callbacks,
            EventLog eventLog,
            ByteCounter sentBytes,
            ByteCounter receivedBytes) {
        this.channel = channel;
        this.callbacks = callbacks;
        this.eventLog = eventLog;
        this.sentBytes = sentBytes;
        this.receivedBytes = receivedBytes;
        this.link = new PeerLink(remote, this::send, channel::close);
    }

    /** Adds the handlers to a channel before it becomes active. */
    static void install(
            Channel channel,
            String remote,
            LinkCallbacks callbacks,
            EventLog eventLog,
            ByteCounter sentBytes,
            ByteCounter receivedBytes) {
        channel.pipeline()
                .addLast(new FlushConsolidationHandler(256, true))
                .addLast(FRAME_DECODER, frameDecoder(MAX_HANDSHAKE_FRAME_BYTES))
                .addLast(
                        new PeerChannel(
                                channel, remote, callbacks, eventLog, sentBytes, receivedBytes));
    }

    private static LengthFieldBasedFrameDecoder frameDecoder(int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(
                maxFrameBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    private boolean send(PeerMessage message) {
        if (!channel.isActive()) {
            return false;
        }
        if (!channel.isWritable()) {
            closeRejected("outbound buffer is full");
            return false;
        }
        Either<String, byte[]> frame = PeerMessageWriter.write(message);
        if (frame.isLeft()) {
            return false;
        }
        byte[] content = frame.get();
        ByteBuf buffer = channel.alloc().buffer(LENGTH_BYTES + content.length);
        buffer.writeInt(content.length).writeBytes(content);
        sentBytes.add(traffic(message), buffer.readableBytes());
        channel.writeAndFlush(buffer, channel.voidPromise());
        return true;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        callbacks.opened().accept(link);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        callbacks.closed().accept(link);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        byte[] content = new byte[frame.readableBytes()];
        frame.readBytes(content);
        Either<String, Option<PeerMessage>> message = PeerMessageReader.read(content);
        if (message.isLeft()) {
            closeRejected("malformed message: " + message.getLeft());
            return;
        }
        receivedBytes.add(
                message.get().map(PeerChannel::traffic).getOrElse(Traffic.CONTROL),
                content.length + LENGTH_BYTES);
        message.get().forEach(decodedMessage -> receive(context.pipeline(), decodedMessage));
    }

    private void receive(ChannelPipeline pipeline, PeerMessage message) {
        callbacks.received().accept(link, message);
        if (message instanceof PeerMessage.HelloProof && channel.isActive()) {
            // The receiver of the event has closed the channel if the proof is wrong. Replacing the
            // decoder passes the buffered bytes to the new decoder immediately, so the proof must
            // be delivered first.
            pipeline.replace(
                    FRAME_DECODER, FRAME_DECODER, frameDecoder(PeerMessageWriter.MAX_FRAME_BYTES));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            closeRejected("malformed frame: " + cause.getMessage());
        } else if (cause instanceof IOException) {
            // Connection reset by the peer; closing the channel raises the closed event.
            channel.close();
        } else {
            eventLog.record(LogEvent.INVARIANT_BROKEN, HashMap.of("cause", String.valueOf(cause)));
            channel.close();
        }
    }

    private void closeRejected(String reason) {
        // The remaining input of a closed channel may be malformed too; only the first error is
        // logged.
        if (rejectionLogged.compareAndSet(false, true)) {
            eventLog.record(
                    LogEvent.PEER_REJECTED, HashMap.of("remote", link.remote(), "reason", reason));
        }
        channel.close();
    }

    private static Traffic traffic(PeerMessage message) {
        return message.isForwarded() ? Traffic.FORWARDED : Traffic.CONTROL;
    }
}
