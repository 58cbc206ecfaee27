package org.sequoiaspindle.bench.coordination;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;

/** Median, minimum and maximum of a small sample. */
public record SummaryStatistics(double median, double min, double max) {

    /** Computes the statistics of a non-empty sample. */
    public static SummaryStatistics of(Seq<Double> values) {
        Vector<Double> sortedValues = values.toVector().sorted();
        int middle = sortedValues.size() / 2;
        double median =
                sortedValues.size() % 2 == 1
                        ? sortedValues.get(middle)
                        : (sortedValues.get(middle - 1) + sortedValues.get(middle)) / 2;
        return new SummaryStatistics(median, sortedValues.head(), sortedValues.last());
    }

    /** Formats the median, followed by the range if the values differ. */
    public String format() {
        return min == max
                ? formatNumber(median)
                : formatNumber(median) + " (" + formatNumber(min) + "-" + formatNumber(max) + ")";
    }

    private static String formatNumber(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e12) {
            return Long.toString((long) value);
        }
        return Math.abs(value) < 10 ? "%.4f".formatted(value) : "%.1f".formatted(value);
    }
}
