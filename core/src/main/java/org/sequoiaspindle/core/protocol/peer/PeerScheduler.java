package org.sequoiaspindle.core.protocol.peer;

/** Runs tasks later. Thread-safe. */
@FunctionalInterface
public interface PeerScheduler {

    /** Schedules the task; running the returned function cancels it. */
    Runnable schedule(long delayMillis, Runnable task);
}
