package org.sequoiaspindle.core.coordination.claim;

import io.vavr.control.Option;

/**
 * Durable record that an idempotency key is in use.
 *
 * @param attempt unique identifier of the attempt that wrote the claim
 * @param digest digest of the pipeline and the input of the request
 * @param outcome outcome of the request, none until the request has ended
 */
public record Claim(String attempt, String digest, Option<RecordedOutcome> outcome) {
    /** Returns the claim of an attempt whose request has not ended yet. */
    public static Claim unfinished(String attempt, String digest) {
        return new Claim(attempt, digest, Option.none());
    }

    public Claim withOutcome(RecordedOutcome recorded) {
        return new Claim(attempt, digest, Option.some(recorded));
    }
}
