package org.sequoiaspindle.core.coordination.forwarding;

/**
 * Moving average of a duration and of its deviation, in milliseconds.
 *
 * @param mean average of the observations, the recent ones weighing most
 * @param deviation average distance of an observation from the mean
 */
public record DurationEstimate(double mean, double deviation) {

    /** Weight of a new observation; about the last ten count. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Estimate from a first observation. */
    public static DurationEstimate ofFirst(double millis) {
        return new DurationEstimate(millis, 0);
    }

    /** Estimate after another observation. */
    public DurationEstimate withObservation(double millis) {
        double error = millis - mean;
        return new DurationEstimate(
                mean + SMOOTHING_FACTOR * error,
                deviation + SMOOTHING_FACTOR * (Math.abs(error) - deviation));
    }

    /** Time that most observations do not exceed, in milliseconds. */
    public double typicalMaxMillis() {
        return mean + deviation;
    }
}
