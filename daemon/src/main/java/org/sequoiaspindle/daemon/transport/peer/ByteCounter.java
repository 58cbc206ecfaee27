package org.sequoiaspindle.daemon.transport.peer;

/**
 * Counts bytes on peer links, including frame headers. Implementations are thread-safe and do not
 * block.
 */
@FunctionalInterface
public interface ByteCounter {

    /** Counter that ignores all bytes. */
    ByteCounter NONE = (traffic, bytes) -> {};

    /** Adds the bytes of one frame. */
    void add(Traffic traffic, long bytes);

    /** Kind of traffic on a peer link. */
    enum Traffic {
        /** Heartbeats, membership and configuration. */
        CONTROL,
        /** Forwarded calls and the results of the calls. */
        FORWARDED
    }
}
