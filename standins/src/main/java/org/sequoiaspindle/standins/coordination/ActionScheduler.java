package org.sequoiaspindle.standins.coordination;

/** Runs actions after a delay. */
@FunctionalInterface
public interface ActionScheduler {

    /**
     * Schedules an action and returns another action, which cancels the scheduled action.
     *
     * @param delayMs delay in milliseconds, possibly fractional
     */
    Runnable schedule(double delayMs, Runnable action);
}
