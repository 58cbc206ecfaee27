package org.sequoiaspindle.bench.coordination;

import org.sequoiaspindle.bench.state.Sizes;

/** Computes the request rates that saturate the engines from the service times. */
public final class EngineCapacity {

    private static final double MS_PER_SECOND = 1000;

    private EngineCapacity() {}

    /** Returns the rate of short requests (chats and payments) that saturates all engines. */
    public static double shortRequestsPerSecond(Sizes sizes) {
        double chats =
                sizes.engines() * sizes.slots() / generationSeconds(sizes, sizes.meanChatTokens());
        return chats / (1 - sizes.paymentShare());
    }

    /** Returns the rate of reports that uses the configured share of the engines' capacity. */
    public static double reportsPerSecond(Sizes sizes) {
        double meanTokens = (sizes.minReportTokens() + sizes.reportTokens()) / 2.0;
        return sizes.reportLoad()
                * sizes.engines()
                * sizes.slots()
                / generationSeconds(sizes, meanTokens);
    }

    /** Returns the time that a saturated engine takes to generate a number of tokens. */
    private static double generationSeconds(Sizes sizes, double tokens) {
        double tokenMs = sizes.tokenMs() * (1 + Sizes.TOKEN_GROWTH * (sizes.slots() - 1));
        return tokens * tokenMs / MS_PER_SECOND;
    }
}
