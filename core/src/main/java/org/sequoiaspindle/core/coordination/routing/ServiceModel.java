package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * Learned service times by stage and magnitude of size. The estimate moves slowly and single values
 * are clipped, so that a slowed endpoint does not teach the model that slow is ordinary.
 */
public record ServiceModel(Map<Key, Estimate> estimates) {

    private static final double GAIN = 0.1;

    /** Faster than the way up, so that a slow phase, such as a cold start, is soon forgotten. */
    private static final double GAIN_DOWN = 0.25;

    private static final double CLIP = 3.0;

    /** Stage and binary magnitude of the size. */
    public record Key(String stage, int magnitude) {}

    /** Mean and mean deviation in milliseconds. */
    public record Estimate(double meanMs, double deviationMs) {}

    /** A model that has seen nothing. */
    public static ServiceModel empty() {
        return new ServiceModel(HashMap.empty());
    }

    /** Predicted service time in milliseconds. */
    public long expectedMs(CallProfile profile) {
        return estimates
                .get(key(profile.stage(), profile.size()))
                .map(estimate -> Math.round(estimate.meanMs()))
                .getOrElse(profile.configuredMs());
    }

    /** Deviation to allow for in a prediction, in milliseconds; 0 before anything was seen. */
    public long deviationMs(CallProfile profile) {
        return estimates
                .get(key(profile.stage(), profile.size()))
                .map(estimate -> Math.round(estimate.deviationMs()))
                .getOrElse(0L);
    }

    /** The model after a call. */
    public ServiceModel learn(String stage, long size, long serviceMs) {
        Key key = key(stage, size);
        Estimate next =
                estimates
                        .get(key)
                        .map(estimate -> moved(estimate, serviceMs))
                        .getOrElse(() -> new Estimate(serviceMs, serviceMs / 4.0));
        return new ServiceModel(estimates.put(key, next));
    }

    private static Estimate moved(Estimate estimate, long serviceMs) {
        double value = Math.min(serviceMs, CLIP * Math.max(1, estimate.meanMs()));
        double error = value - estimate.meanMs();
        return new Estimate(
                estimate.meanMs() + (error < 0 ? GAIN_DOWN : GAIN) * error,
                estimate.deviationMs() + GAIN * (Math.abs(error) - estimate.deviationMs()));
    }

    private static Key key(String stage, long size) {
        return new Key(stage, Long.SIZE - Long.numberOfLeadingZeros(Math.max(1, size)));
    }
}
