package org.sequoiaspindle.bench.coordination;

/** Arrival rate over a run. */
@FunctionalInterface
public interface LoadShape {

    /** Multiple of the capacity at a time since the start of the run. */
    double at(double seconds);

    /** The same load all the time. */
    static LoadShape constant(double load) {
        return seconds -> load;
    }

    /**
     * A crest for the middle third of the run. The ramps are centred on its edges, so that they do
     * not change the mean.
     *
     * @param mean mean load of the run
     * @param crest load of the crest; a third of it must not exceed the mean
     */
    static LoadShape crest(double mean, double crest, double rampSeconds, double runSeconds) {
        double base = (3 * mean - crest) / 2;
        double ramp = Math.min(rampSeconds, runSeconds / 6);
        return seconds -> {
            double up = (seconds - runSeconds / 3) / ramp + 0.5;
            double down = (2 * runSeconds / 3 - seconds) / ramp + 0.5;
            double share = Math.max(0, Math.min(1, Math.min(up, down)));
            return base + share * (crest - base);
        };
    }
}
