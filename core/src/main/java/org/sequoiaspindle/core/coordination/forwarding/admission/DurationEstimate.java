package org.sequoiaspindle.core.coordination.forwarding.admission;

/**
 * Exponentially weighted moving average of a duration and of its deviation, in milliseconds.
 *
 * @param mean weighted average of the observations
 * @param deviation weighted average of the absolute difference from the mean
 */
public record DurationEstimate(double mean, double deviation) {

    /** Weight of a new observation; about the last ten observations matter. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Returns the estimate after the first observation. */
    public static DurationEstimate ofFirst(double millis) {
        return new DurationEstimate(millis, 0);
    }

    /** Returns the estimate after another observation. */
    public DurationEstimate withObservation(double millis) {
        double error = millis - mean;
        return new DurationEstimate(
                mean + SMOOTHING_FACTOR * error,
                deviation + SMOOTHING_FACTOR * (Math.abs(error) - deviation));
    }

    /** Returns the time that most observations do not exceed, in milliseconds. */
    public double typicalMaxMillis() {
        return mean + deviation;
    }
}
