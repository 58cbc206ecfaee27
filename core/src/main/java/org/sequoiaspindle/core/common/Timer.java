package org.sequoiaspindle.core.common;

/** Runs tasks after a delay. Thread-safe. */
@FunctionalInterface
public interface Timer {

    /**
     * Schedules a task.
     *
     * @param delayMillis delay in milliseconds; 0 or less runs it as soon as possible
     * @return cancels the task if it has not started
     */
    Runnable schedule(long delayMillis, Runnable task);
}
