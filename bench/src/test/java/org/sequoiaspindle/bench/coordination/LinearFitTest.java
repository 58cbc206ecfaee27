package org.sequoiaspindle.bench.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vavr.Tuple2;
import io.vavr.collection.Vector;
import org.junit.jupiter.api.Test;

/** Guards against wrong slopes in the capacity results. */
final class LinearFitTest {

    @Test
    void fitOfCollinearPointsIsTheLineThroughThePoints() {
        LinearFit fit = LinearFit.of(Vector.of(1, 4, 10).map(x -> point(x, 3.0 * x - 2)));
        assertEquals(3, fit.slope(), 1e-12);
        assertEquals(-2, fit.intercept(), 1e-12);
        assertEquals(1, fit.r2(), 1e-12);
    }

    @Test
    void scatterReducesTheExplainedVariance() {
        LinearFit fit = LinearFit.of(Vector.of(point(0, 0), point(1, 2), point(2, 1), point(3, 3)));
        assertEquals(0.8, fit.slope(), 1e-12);
        assertEquals(0.3, fit.intercept(), 1e-12);
        assertEquals(0.64, fit.r2(), 1e-12);
    }

    @Test
    void pointsWithEqualXValuesAreRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> LinearFit.of(Vector.of(point(1, 1), point(1, 2))));
    }

    private static Tuple2<Double, Double> point(double x, double y) {
        return new Tuple2<>(x, y);
    }
}
