package org.sequoiaspindle.core.common;

/** Source of time in whole milliseconds. Implementations are thread-safe. */
@FunctionalInterface
public interface MillisClock {

    /**
     * Returns the current time in milliseconds. For a monotonic clock, only differences are
     * meaningful.
     */
    long now();

    /**
     * Returns a monotonic clock for deadlines and intervals, which is not affected by changes of
     * the wall-clock time.
     */
    static MillisClock monotonic() {
        return () -> System.nanoTime() / 1_000_000L;
    }

    /** Returns the wall clock, in milliseconds since the Unix epoch. */
    static MillisClock wall() {
        return System::currentTimeMillis;
    }
}
