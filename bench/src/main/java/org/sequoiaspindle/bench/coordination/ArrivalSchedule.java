package org.sequoiaspindle.bench.coordination;

import io.vavr.collection.Vector;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;

/** Times of Poisson arrivals whose rate may change over time. */
public final class ArrivalSchedule {

    private static final double NANOS_PER_SECOND = 1e9;

    private ArrivalSchedule() {}

    /**
     * Draws arrivals by thinning a process of the highest rate.
     *
     * @param rate requests per second at a time in seconds, at most {@code highest}
     * @return nanoseconds since the start, rising
     */
    public static Vector<Long> draw(
            DoubleUnaryOperator rate, double highest, double seconds, long seed) {
        Random random = new Random(seed);
        Vector<Long> arrivals = Vector.empty();
        double time = 0;
        while (highest > 0) {
            time -= Math.log(1 - random.nextDouble()) / highest;
            if (time >= seconds) {
                return arrivals;
            }
            if (random.nextDouble() * highest < rate.applyAsDouble(time)) {
                arrivals = arrivals.append((long) (time * NANOS_PER_SECOND));
            }
        }
        return arrivals;
    }
}
