package org.sequoiaspindle.bench.coordination;

import io.vavr.Tuple2;
import io.vavr.collection.Seq;

/**
 * Least-squares fit of a straight line.
 *
 * @param r2 share of the variance that the line explains (R^2); 1 if the y values have no variance
 */
public record LinearFit(double slope, double intercept, double r2) {

    /** Fits a line to points with at least two different x values. */
    public static LinearFit of(Seq<Tuple2<Double, Double>> points) {
        double meanX = points.map(Tuple2::_1).average().get();
        double meanY = points.map(Tuple2::_2).average().get();
        double xx = points.map(point -> square(point._1 - meanX)).sum().doubleValue();
        double yy = points.map(point -> square(point._2 - meanY)).sum().doubleValue();
        double xy =
                points.map(point -> (point._1 - meanX) * (point._2 - meanY)).sum().doubleValue();
        if (xx == 0) {
            throw new IllegalArgumentException(
                    "a linear fit needs at least two different x values");
        }
        double slope = xy / xx;
        return new LinearFit(slope, meanY - slope * meanX, yy == 0 ? 1 : xy * xy / (xx * yy));
    }

    private static double square(double value) {
        return value * value;
    }
}
