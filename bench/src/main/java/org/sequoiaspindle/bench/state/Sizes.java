package org.sequoiaspindle.bench.state;

/**
 * Sizes of the installation of a policy run and of its requests.
 *
 * @param instances entry instances
 * @param engines model engines
 * @param slots calls that an engine runs at once
 * @param tokenMs time between tokens of a call that runs alone in an engine
 * @param poolReplicas replicas of each of encoder, retriever and reranker
 * @param poolMs median service time of these, in milliseconds
 * @param paymentMs median service time of a payment, in milliseconds
 * @param paymentShare share of payments in the short load, 0 to 1
 * @param reportLoad share of the engines' capacity that reports take where a scenario has them
 * @param reportTokens most tokens of a report; the fewest are half as many
 */
public record Sizes(
        int instances,
        int engines,
        int slots,
        double tokenMs,
        int poolReplicas,
        double poolMs,
        double paymentMs,
        double paymentShare,
        double reportLoad,
        int reportTokens) {

    public static final int PAYMENT_SERVICES = 3;
    public static final int CHAT_TOKENS_LEAST = 20;
    public static final int CHAT_TOKENS_MOST = 60;

    /** Each further running call of an engine lengthens the time between tokens by this share. */
    public static final double TOKEN_GROWTH = 0.02;

    /** Mean tokens of a chat. */
    public double chatTokens() {
        return (CHAT_TOKENS_LEAST + CHAT_TOKENS_MOST) / 2.0;
    }

    /** Fewest tokens of a report. */
    public int reportTokensLeast() {
        return reportTokens / 2;
    }
}
