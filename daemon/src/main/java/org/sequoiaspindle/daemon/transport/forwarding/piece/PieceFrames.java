package org.sequoiaspindle.daemon.transport.forwarding.piece;

import io.netty.channel.Channel;
import org.sequoiaspindle.core.protocol.forwarding.PieceMessage;
import org.sequoiaspindle.core.protocol.forwarding.PieceMessageCodec;
import org.sequoiaspindle.daemon.transport.frame.FrameFormat;
import org.sequoiaspindle.daemon.transport.frame.FrameHandler;

/** Frames with messages about pieces and permits. */
public final class PieceFrames {

    /** Sufficient for a piece with a few thousand inputs. */
    private static final int MAX_FRAME_BYTES = 256 * 1024;

    public static final FrameFormat<PieceMessage> FORMAT =
            new FrameFormat<>(
                    PieceMessageCodec::encode, PieceMessageCodec::decode, MAX_FRAME_BYTES);

    private PieceFrames() {}

    public static void send(Channel channel, PieceMessage message) {
        FrameHandler.send(channel, FORMAT, message);
    }
}
