package org.sequoiaspindle.daemon.transport.peer;

/** Counts bytes on peer links, frame headers included. Thread-safe; must not block. */
@FunctionalInterface
public interface ByteCounter {

    /** Counter that forgets. */
    ByteCounter NONE = (traffic, bytes) -> {};

    /** Adds bytes of one frame. */
    void add(Traffic traffic, long bytes);

    /** What the bytes are spent on. */
    enum Traffic {
        /** Heartbeats, membership and configuration. */
        CONTROL,
        /** Forwarded calls and their answers. */
        FORWARDED
    }
}
