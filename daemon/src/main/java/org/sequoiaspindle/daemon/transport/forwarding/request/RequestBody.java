package org.sequoiaspindle.daemon.transport.forwarding.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryKind;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ConnectionMemory;

/**
 * Body of a request that is being received, with the memory that is reserved for it. Parts are
 * copied, because a part of a few bytes would keep the whole buffer in which it was received.
 */
public final class RequestBody {

    /** Memory for each byte: the body itself, and its copy while it is sent to a replica. */
    private static final int COPIES = 2;

    private static final int MIN_CHUNK_BYTES = 256;
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    private final ConnectionMemory memory;
    private List<ByteBuf> chunks = new ArrayList<>();
    private int length;

    public RequestBody(ConnectionMemory memory) {
        this.memory = memory;
    }

    /** Starts to receive another body. */
    public void begin() {
        chunks = new ArrayList<>();
        length = 0;
    }

    public int length() {
        return length;
    }

    /** Takes over a part, or releases it and returns false if there is no memory for it. */
    public boolean append(ByteBuf part) {
        try {
            while (part.isReadable()) {
                if (!hasWritableChunk() && !addChunk(part.readableBytes())) {
                    return false;
                }
                ByteBuf chunk = chunks.get(chunks.size() - 1);
                int count = Math.min(chunk.writableBytes(), part.readableBytes());
                chunk.writeBytes(part, count);
                length += count;
            }
            return true;
        } finally {
            part.release();
        }
    }

    private boolean hasWritableChunk() {
        return !chunks.isEmpty() && chunks.get(chunks.size() - 1).isWritable();
    }

    /**
     * Adds a chunk that is at most as long as the body until then. Memory is reserved for whole
     * chunks, because a body of 4 MiB may arrive in millions of parts.
     */
    private boolean addChunk(int wanted) {
        int size = Math.max(MIN_CHUNK_BYTES, Math.max(length, wanted));
        int capacity = Math.min(MAX_CHUNK_BYTES, size);
        if (!memory.reserve(MemoryKind.BODIES, (long) COPIES * capacity)) {
            return false;
        }
        chunks.add(Unpooled.buffer(capacity, capacity));
        return true;
    }

    /** Hands over the complete body; its memory stays reserved until {@link #releaseMemory}. */
    public ByteBuf complete() {
        CompositeByteBuf complete = Unpooled.compositeBuffer(Math.max(1, chunks.size()));
        complete.addComponents(true, chunks);
        chunks = new ArrayList<>();
        return complete;
    }

    /** Gives up a body that has not been handed over, and the reserved memory. */
    public void release() {
        releaseMemory();
        chunks.forEach(ByteBuf::release);
        chunks = new ArrayList<>();
    }

    public void releaseMemory() {
        memory.releaseAll(MemoryKind.BODIES);
    }
}
