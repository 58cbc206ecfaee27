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
        instances = whole(parser, "instances", "entry instances", 6);
        engines = whole(parser, "engines", "model engines", 6);
        slots = whole(parser, "slots", "calls that an engine runs at once", 8);
        tokenMs = decimal(parser, "token-ms", "time between tokens in a lone call", 6);
        poolReplicas = whole(parser, "pool-replicas", "replicas of each pool", 4);
        poolMs = decimal(parser, "pool-ms", "median service time of pools", 15);
        paymentMs = decimal(parser, "payment-ms", "median service time of payments", 50);
        paymentShare = decimal(parser, "payment-share", "share in the short load", 0.1);
        reportLoad = decimal(parser, "report-load", "reports' share of the engines", 0.25);
        reportTokens = whole(parser, "report-tokens", "most tokens of a report", 1200);
    }

    Sizes of(OptionSet options) {
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

    static ArgumentAcceptingOptionSpec<String> text(OptionParser parser, String name, String text) {
        return parser.accepts(name, text).withRequiredArg();
    }

    static OptionSpec<Integer> whole(OptionParser parser, String name, String text, int value) {
        return parser.accepts(name, text).withRequiredArg().ofType(Integer.class).defaultsTo(value);
    }

    static OptionSpec<Double> decimal(OptionParser parser, String name, String text, double value) {
        return parser.accepts(name, text).withRequiredArg().ofType(Double.class).defaultsTo(value);
    }
}
