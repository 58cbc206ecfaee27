package org.sequoiaspindle.bench.coordination;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;

/** Median and extremes of a few values. */
public record Statistics(double median, double min, double max) {

    /** Statistics of at least one value. */
    public static Statistics of(Seq<Double> values) {
        Vector<Double> sorted = values.toVector().sorted();
        int middle = sorted.size() / 2;
        double median =
                sorted.size() % 2 == 1
                        ? sorted.get(middle)
                        : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
        return new Statistics(median, sorted.head(), sorted.last());
    }

    /** Median, and the extremes if they differ from it. */
    public String text() {
        return min == max
                ? number(median)
                : number(median) + " (" + number(min) + "-" + number(max) + ")";
    }

    private static String number(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e12) {
            return Long.toString((long) value);
        }
        return Math.abs(value) < 10 ? "%.4f".formatted(value) : "%.1f".formatted(value);
    }
}
