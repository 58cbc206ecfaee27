package org.sequoiaspindle.bench.coordination;

import io.vavr.collection.Vector;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;

/** Generates arrival times of a Poisson process with a rate that may change over time. */
public final class PoissonArrivals {

    private static final double NANOS_PER_SECOND = 1e9;

    private PoissonArrivals() {}

    /**
     * Samples arrivals by thinning a Poisson process of the maximum rate.
     *
     * @param rate requests per second, at most {@code maxRate}, as a function of the seconds since
     *     the start
     * @return arrival times in nanoseconds since the start, ascending
     */
    public static Vector<Long> sample(
            DoubleUnaryOperator rate, double maxRate, double seconds, long seed) {
        Random random = new Random(seed);
        Vector<Long> arrivals = Vector.empty();
        double time = 0;
        while (maxRate > 0) {
            time -= Math.log(1 - random.nextDouble()) / maxRate;
            if (time >= seconds) {
                return arrivals;
            }
            if (random.nextDouble() * maxRate < rate.applyAsDouble(time)) {
                arrivals = arrivals.append((long) (time * NANOS_PER_SECOND));
            }
        }
        return arrivals;
    }
}
