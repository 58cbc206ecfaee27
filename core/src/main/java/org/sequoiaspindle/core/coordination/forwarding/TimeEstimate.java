package org.sequoiaspindle.core.coordination.forwarding;

/**
 * Moving average of a duration and of its deviation, in milliseconds.
 *
 * @param mean average of the observations, the recent ones weighing most
 * @param deviation average distance of an observation from the mean
 */
public record TimeEstimate(double mean, double deviation) {

    /** Weight of a new observation; about the last ten count. */
    private static final double GAIN = 0.1;

    /** Estimate from a first observation. */
    public static TimeEstimate first(double millis) {
        return new TimeEstimate(millis, 0);
    }

    /** Estimate after another observation. */
    public TimeEstimate observed(double millis) {
        double error = millis - mean;
        return new TimeEstimate(
                mean + GAIN * error, deviation + GAIN * (Math.abs(error) - deviation));
    }

    /** Time that most observations do not exceed, in milliseconds. */
    public double usualMillis() {
        return mean + deviation;
    }
}
