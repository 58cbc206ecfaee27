package org.sequoiaspindle.bench.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import org.junit.jupiter.api.Test;

/** Guards against variants with different load and against load that deviates from the rate. */
final class PoissonArrivalsTest {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    @Test
    void sameSeedGivesTheSameArrivals() {
        assertEquals(
                PoissonArrivals.sample(time -> 50, 100, 20, 3),
                PoissonArrivals.sample(time -> 50, 100, 20, 3));
        assertNotEquals(
                PoissonArrivals.sample(time -> 50, 100, 20, 3),
                PoissonArrivals.sample(time -> 50, 100, 20, 4));
    }

    @Test
    void arrivalsAscendWithinTheRunAndFollowTheRate() {
        Vector<Long> arrivals = PoissonArrivals.sample(time -> time < 50 ? 20 : 200, 200, 100, 1);
        assertEquals(arrivals.sorted(), arrivals);
        assertTrue(
                arrivals.forAll(
                        arrivalNanos ->
                                arrivalNanos >= 0 && arrivalNanos < 100 * NANOS_PER_SECOND));
        // The tolerance is five standard deviations of a Poisson-distributed count.
        assertEquals(
                1000,
                arrivals.count(arrivalNanos -> arrivalNanos < 50 * NANOS_PER_SECOND),
                5 * Math.sqrt(1000));
        assertEquals(
                10_000,
                arrivals.count(arrivalNanos -> arrivalNanos >= 50 * NANOS_PER_SECOND),
                5 * Math.sqrt(10_000));
    }

    @Test
    void interArrivalTimesVaryAsInAPoissonProcess() {
        Vector<Long> arrivals = PoissonArrivals.sample(time -> 100, 100, 100, 1);
        Vector<Double> gaps =
                arrivals.tail()
                        .zipWith(
                                arrivals,
                                (next, arrivalNanos) ->
                                        (next - arrivalNanos) / (double) NANOS_PER_SECOND);
        double mean = gaps.average().get();
        double variance = gaps.map(gap -> (gap - mean) * (gap - mean)).average().get();
        assertEquals(1, Math.sqrt(variance) / mean, 0.05);
    }

    @Test
    void peakKeepsTheMeanLoadAndReachesThePeakLoad() {
        LoadProfile profile = LoadProfile.peak(0.7, 2, 1.5, 30);
        double mean =
                Vector.range(0, 30_000).map(step -> profile.loadAt(step / 1000.0)).average().get();
        assertEquals(0.7, mean, 0.01);
        assertEquals(2, profile.loadAt(15), 1e-9);
        assertEquals(0.05, profile.loadAt(1), 1e-9);
        assertEquals(0.05, profile.loadAt(29), 1e-9);
    }
}
