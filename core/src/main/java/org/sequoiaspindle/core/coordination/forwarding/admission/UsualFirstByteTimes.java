package org.sequoiaspindle.core.coordination.forwarding.admission;

import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Usual time from sending a request to the first byte of its answer, at all replicas together. Each
 * route has an estimate for every power of two of the prompt length. Thread-safe.
 */
public final class UsualFirstByteTimes {

    /** Observations before which a time is not called usual. */
    private static final int MIN_OBSERVATIONS = 10;

    /**
     * Multiple of the usual time as which a longer one counts, so that one replica is not usual.
     */
    private static final double MAX_RATIO = 3;

    /** Shortest time called usual, in milliseconds; below it the clock's resolution matters. */
    private static final double MIN_USUAL_MS = 10;

    private record Usual(DurationEstimate estimate, int observations) {

        static Usual ofFirst(double millis) {
            return new Usual(DurationEstimate.ofFirst(millis), 1);
        }

        double millis() {
            return Math.max(MIN_USUAL_MS, estimate.typicalMaxMillis());
        }

        Usual with(double millis) {
            double counted =
                    observations < MIN_OBSERVATIONS
                            ? millis
                            : Math.min(millis, MAX_RATIO * millis());
            return new Usual(
                    estimate.withObservation(counted),
                    Math.min(MIN_OBSERVATIONS, observations + 1));
        }
    }

    private record Key(String route, int promptLengthBits) {

        static Key of(String route, long promptTokens) {
            return new Key(route, Long.SIZE - Long.numberOfLeadingZeros(promptTokens));
        }
    }

    private final ConcurrentMap<Key, Usual> usualTimes = new ConcurrentHashMap<>();

    /**
     * Records a time.
     *
     * @return the time as a multiple of the usual one, empty while too little has been observed
     */
    public OptionalDouble observe(String route, long promptTokens, double millis) {
        OptionalDouble ratio = ratio(route, promptTokens, millis);
        usualTimes.merge(
                Key.of(route, promptTokens),
                Usual.ofFirst(millis),
                (usual, first) -> usual.with(millis));
        return ratio;
    }

    /** Returns a time as a multiple of the usual one, empty while too little has been observed. */
    public OptionalDouble ratio(String route, long promptTokens, double millis) {
        Usual usual = usualTimes.get(Key.of(route, promptTokens));
        return usual == null || usual.observations() < MIN_OBSERVATIONS
                ? OptionalDouble.empty()
                : OptionalDouble.of(millis / usual.millis());
    }
}
