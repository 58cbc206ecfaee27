package org.sequoiaspindle.daemon.transport.forwarding.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryKind;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ConnectionMemory;

/**
 * Bytes that are written to a client's connection and that the client has not taken yet. Confined
 * to the event loop of the connection.
 */
final class UnreadAnswers {

    /** Memory of a part besides its bytes: its buffer, its entry in the queue and its head. */
    private static final int ENTRY_BYTES = 256;

    private final Channel channel;
    private final ConnectionMemory memory;
    private long completedBytes;
    private long takenBytes;
    private long lastTakenAt;

    UnreadAnswers(Channel channel, ConnectionMemory memory, long now) {
        this.channel = channel;
        this.memory = memory;
        lastTakenAt = now;
    }

    /** Counts a part of an answer until it is written to the socket. */
    void add(int bytes, ChannelFuture written) {
        if (written.isDone()) {
            return;
        }
        long cost = bytes + ENTRY_BYTES;
        memory.add(MemoryKind.ANSWERS, cost);
        written.addListener(
                ignored -> {
                    completedBytes += cost;
                    memory.release(MemoryKind.ANSWERS, cost);
                });
    }

    /**
     * Records what the client has taken since the last check, and closes the connection if that is
     * nothing for longer than the limit.
     */
    boolean closeIfIgnored(long limitMillis, long now) {
        long unread = bytes();
        long taken = Math.max(takenBytes, completedBytes + currentProgress());
        if (taken > takenBytes || unread == 0) {
            memory.progressed(taken - takenBytes);
            takenBytes = taken;
            lastTakenAt = now;
        }
        if (now - lastTakenAt <= limitMillis) {
            return false;
        }
        memory.recordUnread(unread);
        channel.close();
        return true;
    }

    /** Returns the bytes of the part that is being written which the client has taken. */
    private long currentProgress() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null ? 0 : pending.currentProgress();
    }

    /** Returns the bytes that the client has not taken, with those of heads. */
    long bytes() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null
                ? 0
                : Math.max(0, pending.totalPendingWriteBytes() - pending.currentProgress());
    }
}
