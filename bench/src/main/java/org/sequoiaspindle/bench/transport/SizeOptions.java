package org.sequoiaspindle.bench.transport;

import joptsimple.ArgumentAcceptingOptionSpec;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sequoiaspindle.bench.state.Sizes;

/** Options for the sizes of a policy installation. */
final class SizeOptions {

    private final OptionSpec<Integer> instances;
    private final OptionSpec<Integer> engines;
    private final OptionSpec<Integer> slots;
    private final OptionSpec<Double> tokenMs;
    private final OptionSpec<Integer> poolReplicas;
    private final OptionSpec<Double> poolMs;
    private final OptionSpec<Double> paymentMs;
    private final OptionSpec<Double> paymentShare;
    private final OptionSpec<Double> reportLoad;
    private final OptionSpec<Integer> reportTokens;

    SizeOptions(OptionParser parser) {
        instances = integerOption(parser, "instances", "entry instances", 6);
        engines = integerOption(parser, "engines", "model engines", 6);
        slots = integerOption(parser, "slots", "concurrent calls per engine", 8);
        tokenMs = doubleOption(parser, "token-ms", "ms between tokens of a single call", 6);
        poolReplicas = integerOption(parser, "pool-replicas", "replicas per pool", 4);
        poolMs = doubleOption(parser, "pool-ms", "median service time of pools in ms", 15);
        paymentMs = doubleOption(parser, "payment-ms", "median service time of payments in ms", 50);
        paymentShare =
                doubleOption(parser, "payment-share", "share of payments in short requests", 0.1);
        reportLoad =
                doubleOption(parser, "report-load", "share of engine capacity for reports", 0.25);
        reportTokens = integerOption(parser, "report-tokens", "maximum tokens of a report", 1200);
    }

    Sizes toSizes(OptionSet options) {
        return new Sizes(
                options.valueOf(instances),
                options.valueOf(engines),
                options.valueOf(slots),
                options.valueOf(tokenMs),
                options.valueOf(poolReplicas),
                options.valueOf(poolMs),
                options.valueOf(paymentMs),
                options.valueOf(paymentShare),
                options.valueOf(reportLoad),
                options.valueOf(reportTokens));
    }

    static ArgumentAcceptingOptionSpec<String> stringOption(
            OptionParser parser, String name, String description) {
        return parser.accepts(name, description).withRequiredArg();
    }

    static OptionSpec<Integer> integerOption(
            OptionParser parser, String name, String description, int value) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(value);
    }

    static OptionSpec<Double> doubleOption(
            OptionParser parser, String name, String description, double value) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(value);
    }
}
