package org.sequoiaspindle.core.coordination.forwarding;

/**
 * Times from the last result of a request's stages to the first bytes of its answer. Long prompts
 * are read for longer, so each route has an estimate for every doubling of the length. Thread-safe.
 */
public final class RunTimes {

    private final TimeEstimates bySize = new TimeEstimates();
    private final TimeEstimates byRoute = new TimeEstimates();

    /** Notes the time of a request with a prompt of the given length. */
    public void observe(String route, long promptTokens, double millis) {
        byRoute.observe(route, millis);
        bySize.observe(sizeKey(route, promptTokens), millis);
    }

    /**
     * Time that is usually not exceeded, in milliseconds.
     *
     * @param fallback taken while no request of the route was observed
     */
    public double usualMillis(String route, long promptTokens, double fallback) {
        return bySize.usualMillis(
                sizeKey(route, promptTokens), byRoute.usualMillis(route, fallback));
    }

    private static String sizeKey(String route, long promptTokens) {
        return route + "/" + (Long.SIZE - Long.numberOfLeadingZeros(promptTokens));
    }
}
