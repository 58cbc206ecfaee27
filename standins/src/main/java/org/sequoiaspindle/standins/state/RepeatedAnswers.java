package org.sequoiaspindle.standins.state;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Fault of a replica stand-in that answers some requests a second time, late and on the connection
 * of the first answer.
 *
 * @param seed seed of the choice of answers and of the delays
 * @param share fraction of the answers that are repeated, 0 to 1
 * @param minDelayMs minimum delay of the second answer, in milliseconds
 * @param maxDelayMs maximum delay of the second answer, in milliseconds
 * @param status status of the second answer, 0 for the status of the first one
 */
public record RepeatedAnswers(
        long seed, double share, long minDelayMs, long maxDelayMs, int status) {

    public static final Set<String> OPTION_NAMES =
            Set.of("repeatSeed", "repeatShare", "repeatMinMs", "repeatMaxMs", "repeatStatus");

    private static final long DEFAULT_MAX_DELAY_MS = 200;
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    public RepeatedAnswers {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("repeatShare must be from 0 to 1, not " + share);
        }
        if (minDelayMs < 0 || maxDelayMs < minDelayMs) {
            throw new IllegalArgumentException(
                    "repeatMinMs must be from 0 to repeatMaxMs, not "
                            + minDelayMs
                            + " with "
                            + maxDelayMs);
        }
        if (status != 0 && (status < MIN_STATUS || status > MAX_STATUS)) {
            throw new IllegalArgumentException(
                    "repeatStatus must be 0 or from 200 to 599, not " + status);
        }
    }

    /** Returns the setting of a replica that answers each request once. */
    public static RepeatedAnswers none() {
        return new RepeatedAnswers(0, 0, 0, 0, 0);
    }

    public static RepeatedAnswers from(OptionValues optionValues) {
        long minDelayMs = optionValues.longValue("repeatMinMs", 0);
        return new RepeatedAnswers(
                optionValues.longValue("repeatSeed", 1),
                optionValues.doubleValue("repeatShare", 0),
                minDelayMs,
                optionValues.longValue("repeatMaxMs", Math.max(minDelayMs, DEFAULT_MAX_DELAY_MS)),
                optionValues.intValue("repeatStatus", 0));
    }

    /** Returns a setting that repeats other answers, with the same share and delays. */
    public RepeatedAnswers withSeed(long newSeed) {
        return new RepeatedAnswers(newSeed, share, minDelayMs, maxDelayMs, status);
    }

    /**
     * Returns the delay of the second answer in milliseconds, or empty if there is none.
     *
     * @param selection random number of the answer from [0, 1)
     * @param position another random number of the answer from [0, 1)
     */
    public OptionalLong delayMs(double selection, double position) {
        return selection < share
                ? OptionalLong.of(minDelayMs + (long) (position * (maxDelayMs - minDelayMs + 1)))
                : OptionalLong.empty();
    }

    /** Returns the status of the second answer if it differs from that of the first one. */
    public Optional<Integer> otherStatus() {
        return status == 0 ? Optional.empty() : Optional.of(status);
    }
}
