package org.sequoiaspindle.core.coordination.forwarding;

/**
 * Times from the last result of a request's stages to the first bytes of its answer. Long prompts
 * are read for longer, so each route has an estimate for every doubling of the length. Thread-safe.
 */
public final class FirstByteTimeEstimates {

    private final DurationEstimates byPromptLength = new DurationEstimates();
    private final DurationEstimates byRoute = new DurationEstimates();

    /** Notes the time of a request with a prompt of the given length. */
    public void observe(String route, long promptTokens, double millis) {
        byRoute.observe(route, millis);
        byPromptLength.observe(promptLengthKey(route, promptTokens), millis);
    }

    /**
     * Time that is usually not exceeded, in milliseconds.
     *
     * @param fallback taken while no request of the route was observed
     */
    public double typicalMaxMillis(String route, long promptTokens, double fallback) {
        return byPromptLength.typicalMaxMillis(
                promptLengthKey(route, promptTokens), byRoute.typicalMaxMillis(route, fallback));
    }

    private static String promptLengthKey(String route, long promptTokens) {
        return route + "/" + (Long.SIZE - Long.numberOfLeadingZeros(promptTokens));
    }
}
