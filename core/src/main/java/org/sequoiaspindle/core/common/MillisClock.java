package org.sequoiaspindle.core.common;

/** Source of time in whole milliseconds. Implementations are thread-safe. */
@FunctionalInterface
public interface MillisClock {

    /** Current time in milliseconds; only differences are meaningful for a monotonic clock. */
    long now();

    /** Monotonic clock for deadlines and intervals; unaffected by changes of the wall time. */
    static MillisClock monotonic() {
        return () -> System.nanoTime() / 1_000_000L;
    }

    /** Wall clock, in milliseconds since the Unix epoch. */
    static MillisClock wall() {
        return System::currentTimeMillis;
    }
}
