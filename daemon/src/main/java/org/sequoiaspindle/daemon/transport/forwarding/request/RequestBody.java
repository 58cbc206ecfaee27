package org.sequoiaspindle.daemon.transport.forwarding.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import org.sequoiaspindle.daemon.transport.forwarding.shared.MemoryBudget;

/** Body of a request that is being received, with the memory that is reserved for it. */
public final class RequestBody {

    private static final int MAX_COMPONENTS = 1_024;

    private final MemoryBudget memory;
    private CompositeByteBuf bytes;
    private long reservedBytes;

    public RequestBody(MemoryBudget memory) {
        this.memory = memory;
    }

    /** Starts to receive another body. */
    public void begin() {
        bytes = Unpooled.compositeBuffer(MAX_COMPONENTS);
    }

    public int length() {
        return bytes.readableBytes();
    }

    /** Takes over a part, or releases it and returns false if there is no memory for it. */
    public boolean append(ByteBuf part) {
        int length = part.readableBytes();
        if (!memory.tryReserve(length)) {
            part.release();
            return false;
        }
        reservedBytes += length;
        bytes.addComponent(true, part);
        return true;
    }

    /** Hands over the complete body; its memory stays reserved until {@link #releaseMemory}. */
    public ByteBuf complete() {
        ByteBuf complete = bytes;
        bytes = null;
        return complete;
    }

    /** Gives up a body that has not been handed over, and the reserved memory. */
    public void release() {
        releaseMemory();
        if (bytes != null) {
            bytes.release();
            bytes = null;
        }
    }

    public void releaseMemory() {
        memory.release(reservedBytes);
        reservedBytes = 0;
    }
}
