package org.sequoiaspindle.daemon.transport.forwarding.client;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decoded messages of the requests that wait behind the active one of a connection. Reading is
 * paused while they are many or long, so that a client cannot fill the memory with them. Confined
 * to the event loop of the connection.
 */
final class PipelinedMessages {

    /** Number of messages at which reading is paused. */
    private static final int MAX_MESSAGES = 64;

    /** Size of the bodies at which reading is paused, in bytes. */
    private static final int MAX_BYTES = 64 * 1024;

    private final Channel channel;
    private final Deque<Object> messages = new ArrayDeque<>();
    private int bytes;

    PipelinedMessages(Channel channel) {
        this.channel = channel;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    void add(Object message) {
        messages.add(message);
        bytes += length(message);
        if (messages.size() >= MAX_MESSAGES || bytes >= MAX_BYTES) {
            channel.config().setAutoRead(false);
        }
    }

    /** Removes the first message, of which there must be one. */
    Object poll() {
        Object message = messages.poll();
        bytes -= length(message);
        return message;
    }

    /** Resumes reading if the limits allow it. */
    void resumeReading() {
        if (messages.size() < MAX_MESSAGES && bytes < MAX_BYTES) {
            channel.config().setAutoRead(true);
        }
    }

    void discard() {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
        bytes = 0;
    }

    private static int length(Object message) {
        return message instanceof HttpContent content ? content.content().readableBytes() : 0;
    }
}
