package org.sequoiaspindle.standins.coordination;

/** Runs actions later. */
@FunctionalInterface
public interface Timer {

    /**
     * Runs the action after the delay and returns a handle that cancels it.
     *
     * @param delayMs delay in milliseconds; fractions count
     */
    Runnable after(double delayMs, Runnable action);
}
