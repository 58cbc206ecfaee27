package org.sequoiaspindle.bench.state;

/** Part of a run, from and to in nanoseconds since its start. */
public record Window(long fromNanos, long toNanos) {

    private static final double NANOS_PER_SECOND = 1e9;

    /** The middle third of a run. */
    public static Window middleThird(long runNanos) {
        return new Window(runNanos / 3, 2 * runNanos / 3);
    }

    public boolean contains(long nanos) {
        return nanos >= fromNanos && nanos < toNanos;
    }

    public double seconds() {
        return (toNanos - fromNanos) / NANOS_PER_SECOND;
    }
}
