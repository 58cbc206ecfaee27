package org.sequoiaspindle.core.coordination.forwarding.replica;

/**
 * Terms on which an instance may send requests to a replica at this moment.
 *
 * @param capacity share of its usual rate that the replica carries now, above 0 and at most 1
 */
public record SendTerms(Verdict verdict, double capacity) {

    /** No restriction. */
    public static final SendTerms UNRESTRICTED = new SendTerms(Verdict.OPEN, 1);

    /** The replica gets nothing. */
    public static final SendTerms NOTHING = new SendTerms(Verdict.CLOSED, 1);

    /** Whether requests may be sent, from the least to the most restrictive verdict. */
    public enum Verdict {
        /** Requests may be sent. */
        OPEN,

        /** Each request needs a permit. */
        PERMIT_NEEDED,

        /** Nothing may be sent, even if no other replica is left. */
        CLOSED
    }

    public boolean isClosed() {
        return verdict == Verdict.CLOSED;
    }

    public boolean needsPermit() {
        return verdict == Verdict.PERMIT_NEEDED;
    }

    /** Returns the terms under both: the more restrictive verdict and the smaller capacity. */
    public SendTerms and(SendTerms other) {
        if (equals(UNRESTRICTED)) {
            return other;
        }
        return new SendTerms(
                verdict.compareTo(other.verdict) >= 0 ? verdict : other.verdict,
                Math.min(capacity, other.capacity));
    }
}
