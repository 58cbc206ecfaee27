package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * Estimates of service time by stage and power of two of the size. Estimates move slowly and single
 * values are clipped, so that calls on a slowed endpoint do not raise the estimate for all
 * endpoints.
 */
public record ServiceModel(Map<EstimateKey, Estimate> estimates) {

    private static final double GAIN = 0.1;

    /**
     * Larger than {@link #GAIN}, so that the estimate recovers quickly after a slow phase such as a
     * cold start.
     */
    private static final double GAIN_DOWNWARD = 0.25;

    private static final double CLIP_RATIO = 3.0;

    /**
     * Key of an estimate.
     *
     * @param stage pipeline stage of the calls
     * @param sizeBitLength bit length of the size in tokens: number of binary digits without
     *     leading zeros
     */
    public record EstimateKey(String stage, int sizeBitLength) {}

    /** Mean and mean deviation of the service time, in milliseconds. */
    public record Estimate(double meanMs, double deviationMs) {}

    /** Returns a model without observations. */
    public static ServiceModel empty() {
        return new ServiceModel(HashMap.empty());
    }

    /**
     * Returns the predicted service time in milliseconds: the estimate, or the configured time if
     * no call was observed.
     */
    public long expectedMs(CallProfile profile) {
        return estimates
                .get(key(profile.stage(), profile.size()))
                .map(estimate -> Math.round(estimate.meanMs()))
                .getOrElse(profile.configuredServiceMs());
    }

    /**
     * Returns the mean deviation of the service time in milliseconds, or 0 if no call was observed.
     */
    public long deviationMs(CallProfile profile) {
        return estimates
                .get(key(profile.stage(), profile.size()))
                .map(estimate -> Math.round(estimate.deviationMs()))
                .getOrElse(0L);
    }

    /** Returns the model updated with a completed call. */
    public ServiceModel learn(String stage, long size, long serviceMs) {
        EstimateKey key = key(stage, size);
        Estimate newEstimate =
                estimates
                        .get(key)
                        .map(estimate -> movingAverage(estimate, serviceMs))
                        .getOrElse(() -> new Estimate(serviceMs, serviceMs / 4.0));
        return new ServiceModel(estimates.put(key, newEstimate));
    }

    private static Estimate movingAverage(Estimate estimate, long serviceMs) {
        double clippedMs = Math.min(serviceMs, CLIP_RATIO * Math.max(1, estimate.meanMs()));
        double errorMs = clippedMs - estimate.meanMs();
        return new Estimate(
                estimate.meanMs() + (errorMs < 0 ? GAIN_DOWNWARD : GAIN) * errorMs,
                estimate.deviationMs() + GAIN * (Math.abs(errorMs) - estimate.deviationMs()));
    }

    private static EstimateKey key(String stage, long size) {
        return new EstimateKey(stage, Long.SIZE - Long.numberOfLeadingZeros(Math.max(1, size)));
    }
}
