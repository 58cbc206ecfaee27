package org.sequoiaspindle.core.coordination.forwarding.memory;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * A connection and the memory that is used for it.
 *
 * @param number identifier within the process
 * @param client address of the client, without its port
 * @param bytes bytes held, by kind
 * @param waitsForClient whether the process waits for the client to send or to take bytes
 * @param isClosing whether the connection has been told to close
 * @param progress progress of the client since the process waits for it
 */
record MemoryHolder(
        long number,
        String client,
        Map<MemoryKind, Long> bytes,
        boolean waitsForClient,
        boolean isClosing,
        ClientProgress progress) {

    static MemoryHolder opened(long number, String client, long now) {
        return new MemoryHolder(
                number, client, HashMap.empty(), true, false, ClientProgress.startedAt(now));
    }

    long totalBytes() {
        return bytes.values().sum().longValue();
    }

    /** Adds bytes, or removes them if the number is negative. */
    MemoryHolder plus(MemoryKind kind, long change) {
        long sum = bytes.getOrElse(kind, 0L) + change;
        return new MemoryHolder(
                number,
                client,
                sum == 0 ? bytes.remove(kind) : bytes.put(kind, sum),
                waitsForClient,
                isClosing,
                progress);
    }

    MemoryHolder progressed(long count, long now) {
        return new MemoryHolder(
                number, client, bytes, waitsForClient, isClosing, progress.plus(count, now));
    }

    /** Time in which the process does not wait for the client is not held against it. */
    MemoryHolder waitingForClient(boolean waits, long now) {
        return waits == waitsForClient
                ? this
                : new MemoryHolder(
                        number, client, bytes, waits, isClosing, ClientProgress.startedAt(now));
    }

    MemoryHolder closing() {
        return new MemoryHolder(number, client, bytes, waitsForClient, true, progress);
    }

    /** Returns whether the connection may be closed so that others get its memory. */
    boolean isStalled(long now) {
        return waitsForClient && !isClosing && progress.isStalled(now);
    }
}
