package org.sequoiaspindle.core.coordination.claim;

import io.vavr.control.Option;

/**
 * The durable mark that a key is used.
 *
 * @param attempt unique value of the attempt that made the claim
 * @param digest digest of pipeline and input
 * @param outcome what became of the request, absent until it has ended
 */
public record Claim(String attempt, String digest, Option<RecordedOutcome> outcome) {
    /** Claim of an attempt that starts now. */
    public static Claim begun(String attempt, String digest) {
        return new Claim(attempt, digest, Option.none());
    }

    public Claim finished(RecordedOutcome ended) {
        return new Claim(attempt, digest, Option.some(ended));
    }
}
