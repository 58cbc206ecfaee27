package org.sequoiaspindle.bench.coordination;

import org.sequoiaspindle.bench.state.Sizes;

/** Request rates that the engines can serve, computed from their service times. */
public final class Capacity {

    private static final double MS_PER_SECOND = 1000;

    private Capacity() {}

    /** Requests per second of the short mix (chats and payments) that fill all engines. */
    public static double shortRate(Sizes sizes) {
        double chats = sizes.engines() * sizes.slots() / seconds(sizes, sizes.chatTokens());
        return chats / (1 - sizes.paymentShare());
    }

    /** Reports per second that take the configured share of the engines. */
    public static double reportRate(Sizes sizes) {
        double mean = (sizes.reportTokensLeast() + sizes.reportTokens()) / 2.0;
        return sizes.reportLoad() * sizes.engines() * sizes.slots() / seconds(sizes, mean);
    }

    /** Time of a generation in a full engine. */
    private static double seconds(Sizes sizes, double tokens) {
        double tokenMs = sizes.tokenMs() * (1 + Sizes.TOKEN_GROWTH * (sizes.slots() - 1));
        return tokens * tokenMs / MS_PER_SECOND;
    }
}
