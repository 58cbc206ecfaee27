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

    private final Channel channel;
    private final ConnectionMemory memory;
    private long writtenBytes;
    private long takenBytes;
    private long lastTakenAt;

    UnreadAnswers(Channel channel, ConnectionMemory memory, long now) {
        this.channel = channel;
        this.memory = memory;
        lastTakenAt = now;
    }

    /** Counts a part of an answer until it is written to the socket. */
    void add(int bytes, ChannelFuture written) {
        if (written.isDone() || bytes == 0) {
            return;
        }
        writtenBytes += bytes;
        memory.add(MemoryKind.ANSWERS, bytes);
        written.addListener(ignored -> memory.release(MemoryKind.ANSWERS, bytes));
    }

    /**
     * Records what the client has taken since the last check, and closes the connection if that is
     * nothing for longer than the limit.
     */
    boolean closeIfIgnored(long limitMillis, long now) {
        long unread = bytes();
        long taken = Math.max(takenBytes, writtenBytes - unread);
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

    /** Returns the bytes that the client has not taken, with those of heads. */
    long bytes() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null
                ? 0
                : Math.max(0, pending.totalPendingWriteBytes() - pending.currentProgress());
    }
}
