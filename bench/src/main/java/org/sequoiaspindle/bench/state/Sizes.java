package org.sequoiaspindle.bench.state;

/**
 * Sizes of the installation of a policy run and of its requests. Output files contain the result of
 * {@link #toString}, so the names of the record and the components must not change.
 *
 * @param instances number of entry instances
 * @param engines number of model engines
 * @param slots maximum number of concurrent calls of an engine
 * @param tokenMs time between tokens, in milliseconds, while an engine runs a single call
 * @param poolReplicas number of replicas of each of encoder, retriever and reranker
 * @param poolMs median service time of the encoders, retrievers and rerankers, in milliseconds
 * @param paymentMs median service time of a payment, in milliseconds
 * @param paymentShare share of payments among the short requests (chats and payments), 0 to 1
 * @param reportLoad share of the engines' capacity that reports use in scenarios with reports
 * @param reportTokens maximum number of tokens of a report; the minimum is half the maximum
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
    public static final int MIN_CHAT_TOKENS = 20;
    public static final int MAX_CHAT_TOKENS = 60;

    /** Each additional concurrent call extends the time between tokens by this share. */
    public static final double TOKEN_GROWTH = 0.02;

    /** Returns the mean number of tokens of a chat. */
    public double meanChatTokens() {
        return (MIN_CHAT_TOKENS + MAX_CHAT_TOKENS) / 2.0;
    }

    /** Returns the minimum number of tokens of a report. */
    public int minReportTokens() {
        return reportTokens / 2;
    }
}
