package org.sequoiaspindle.core.coordination.forwarding.memory;

/**
 * Progress of a client that the process waits for.
 *
 * @param windowStartedAt start of the current time window
 * @param windowBytes bytes sent or taken by the client in the window
 * @param steadyAt last time at which the client was fast enough
 * @param lastAt last time at which the client sent or took any byte
 */
public record ClientProgress(long windowStartedAt, long windowBytes, long steadyAt, long lastAt) {

    /** Length of a time window, in milliseconds. */
    static final long WINDOW_MS = 1_000;

    /**
     * Bytes in a window that make a client slow but sound. The slowest modems in use are faster; a
     * client that sends single bytes to keep its connection open is slower.
     */
    static final long STEADY_BYTES = 1_024;

    /**
     * Time without enough bytes after which a client counts as stalled, in milliseconds. Two lost
     * packets in a row are sent again within it.
     */
    static final long STALL_MS = 2_000;

    /** Starts to wait for a client. */
    public static ClientProgress startedAt(long now) {
        return new ClientProgress(now, 0, now, now);
    }

    /** Adds bytes that the client has sent or taken. */
    ClientProgress plus(long bytes, long now) {
        if (bytes <= 0) {
            return this;
        }
        boolean isNewWindow = now - windowStartedAt >= WINDOW_MS;
        long sum = isNewWindow ? bytes : windowBytes + bytes;
        return new ClientProgress(
                isNewWindow ? now : windowStartedAt,
                sum,
                sum >= STEADY_BYTES ? now : steadyAt,
                now);
    }

    /** Returns whether the client makes too little progress to be slow but sound. */
    boolean isStalled(long now) {
        return now - steadyAt > STALL_MS;
    }
}
