package org.sequoiaspindle.bench.state;

/** Part of a run; the bounds are in nanoseconds since its start, {@code toNanos} is exclusive. */
public record TimeWindow(long fromNanos, long toNanos) {

    private static final double NANOS_PER_SECOND = 1e9;

    /** The middle third of a run. */
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
