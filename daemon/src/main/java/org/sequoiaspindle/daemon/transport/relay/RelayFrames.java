package org.sequoiaspindle.daemon.transport.relay;

import io.netty.channel.Channel;
import org.sequoiaspindle.core.protocol.relay.RelayMessage;
import org.sequoiaspindle.core.protocol.relay.RelayMessageCodec;
import org.sequoiaspindle.daemon.transport.frame.FrameFormat;
import org.sequoiaspindle.daemon.transport.frame.FrameHandler;

/** Frames with reads of the store through another instance. */
final class RelayFrames {

    /** Sufficient for the changes that a reader keeps, which the store limits to 1 MB each. */
    private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    static final FrameFormat<RelayMessage> FORMAT =
            new FrameFormat<>(
                    RelayMessageCodec::encode, RelayMessageCodec::decode, MAX_FRAME_BYTES);

    private RelayFrames() {}

    static void send(Channel channel, RelayMessage message) {
        FrameHandler.send(channel, FORMAT, message);
    }
}
