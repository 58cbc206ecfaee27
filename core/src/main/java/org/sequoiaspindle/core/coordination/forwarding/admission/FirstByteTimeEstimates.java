package org.sequoiaspindle.core.coordination.forwarding.admission;

/**
 * Estimates of the time from the completion of a request's stages to the first bytes of its
 * response. Long prompts take longer to process, so each route has an estimate for every power of
 * two of the prompt length. Thread-safe.
 */
public final class FirstByteTimeEstimates {

    private final DurationEstimates byPromptLength = new DurationEstimates();
    private final DurationEstimates byRoute = new DurationEstimates();

    /** Records the time of a request with a prompt of the given length. */
    public void observe(String route, long promptTokens, double millis) {
        byRoute.observe(route, millis);
        byPromptLength.observe(promptLengthKey(route, promptTokens), millis);
    }

    /**
     * Returns the time that most requests do not exceed, in milliseconds.
     *
     * @param fallback returned while no request of the route has been observed
     */
    public double typicalMaxMillis(String route, long promptTokens, double fallback) {
        return byPromptLength.typicalMaxMillis(
                promptLengthKey(route, promptTokens), byRoute.typicalMaxMillis(route, fallback));
    }

    private static String promptLengthKey(String route, long promptTokens) {
        return route + "/" + (Long.SIZE - Long.numberOfLeadingZeros(promptTokens));
    }
}
