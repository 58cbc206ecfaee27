package org.sequoiaspindle.bench.state;

/**
 * Time window within a run.
 *
 * @param fromNanos start of the window, in nanoseconds since the start of the run
 * @param toNanos end of the window, exclusive, in nanoseconds since the start of the run
 */
public record TimeWindow(long fromNanos, long toNanos) {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns the middle third of a run. */
    public static TimeWindow middleThird(long runNanos) {
        return new TimeWindow(runNanos / 3, 2 * runNanos / 3);
    }

    public boolean contains(long nanos) {
        return nanos >= fromNanos && nanos < toNanos;
    }

    public double seconds() {
        return (toNanos - fromNanos) / NANOS_PER_SECOND;
    }
}
