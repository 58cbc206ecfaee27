package org.sequoiaspindle.daemon.transport.forwarding.client;

import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryKind;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ConnectionMemory;

/**
 * Decoded messages of the requests that wait behind the active one of a connection. Reading is
 * paused while they are many or long, so that a client cannot fill the memory with them. Without
 * memory for them they are dropped, and no more are taken. Confined to the event loop of the
 * connection.
 */
final class PipelinedMessages {

    /** Number of messages at which reading is paused. */
    private static final int MAX_MESSAGES = 64;

    /** Memory of the messages at which reading is paused, in bytes. */
    private static final int MAX_BYTES = 64 * 1024;

    private final Channel channel;
    private final ConnectionMemory memory;
    private final Deque<Object> messages = new ArrayDeque<>();
    private long bytes;
    private boolean refused;

    PipelinedMessages(Channel channel, ConnectionMemory memory) {
        this.channel = channel;
        this.memory = memory;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Returns whether messages were dropped, so that nothing may follow the active request. */
    boolean isRefused() {
        return refused;
    }

    void add(Object message) {
        long cost = HeadCost.of(message);
        if (refused || !memory.reserve(MemoryKind.REQUESTS_AHEAD, cost)) {
            refused = true;
            ReferenceCountUtil.release(message);
            discard();
            channel.config().setAutoRead(false);
            return;
        }
        messages.add(message);
        bytes += cost;
        if (messages.size() >= MAX_MESSAGES || bytes >= MAX_BYTES) {
            channel.config().setAutoRead(false);
        }
    }

    /** Removes the first message, of which there must be one. */
    Object poll() {
        Object message = messages.poll();
        long cost = HeadCost.of(message);
        bytes -= cost;
        memory.release(MemoryKind.REQUESTS_AHEAD, cost);
        return message;
    }

    /** Resumes reading if the limits allow it. */
    void resumeReading() {
        if (!refused && messages.size() < MAX_MESSAGES && bytes < MAX_BYTES) {
            channel.config().setAutoRead(true);
        }
    }

    void discard() {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
        memory.release(MemoryKind.REQUESTS_AHEAD, bytes);
        bytes = 0;
    }
}
