package org.sequoiaspindle.bench.coordination;

/** Load over the course of a run. */
@FunctionalInterface
public interface LoadProfile {

    /**
     * Returns the load as a multiple of the capacity.
     *
     * @param seconds time since the start of the run
     */
    double loadAt(double seconds);

    /** Creates a profile of constant load. */
    static LoadProfile constant(double load) {
        return seconds -> load;
    }

    /**
     * Creates a profile with a load peak during the middle third of the run. The ramps are centred
     * on the edges of the peak, so that the ramps do not change the mean load.
     *
     * @param meanLoad mean load of the run
     * @param peakLoad load during the peak, at most three times the mean load
     */
    static LoadProfile peak(
            double meanLoad, double peakLoad, double rampSeconds, double runSeconds) {
        double baseLoad = (3 * meanLoad - peakLoad) / 2;
        double ramp = Math.min(rampSeconds, runSeconds / 6);
        return seconds -> {
            double rampUp = (seconds - runSeconds / 3) / ramp + 0.5;
            double rampDown = (2 * runSeconds / 3 - seconds) / ramp + 0.5;
            double peakShare = Math.max(0, Math.min(1, Math.min(rampUp, rampDown)));
            return baseLoad + peakShare * (peakLoad - baseLoad);
        };
    }
}
