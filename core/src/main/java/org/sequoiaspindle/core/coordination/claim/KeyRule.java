package org.sequoiaspindle.core.coordination.claim;

/**
 * Decides whether an idempotency key of the form {@code <issued at, Unix ms>-<random>} may be used.
 * A key expires one hour before its claim can be removed from the store at the earliest, so that a
 * late repeat never finds the claim missing and is executed again.
 */
public final class KeyRule {
    /** Maximum length of a key in characters. */
    public static final int MAX_LENGTH = 200;

    /** Age after which a request with the key is no longer executed, in milliseconds. */
    public static final long MAX_AGE_MS = 23 * 3_600_000L;

    /** Maximum time by which a caller's clock may be ahead, in milliseconds. */
    public static final long MAX_AHEAD_MS = 3_600_000L;

    /**
     * Maximum digits of the issue time; fifteen digits reach beyond the year 30000 and fit in a
     * long.
     */
    private static final int MAX_ISSUE_TIME_DIGITS = 15;

    private KeyRule() {}

    /** Returns the validity of the key at the wall-clock time {@code nowMillis}. */
    public static KeyValidity validity(String key, long nowMillis) {
        int dashIndex = key.indexOf('-');
        if (key.length() > MAX_LENGTH
                || dashIndex < 1
                || dashIndex > MAX_ISSUE_TIME_DIGITS
                || dashIndex == key.length() - 1) {
            return KeyValidity.MALFORMED;
        }
        String issuedAt = key.substring(0, dashIndex);
        if (!issuedAt.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return KeyValidity.MALFORMED;
        }
        long ageMs = nowMillis - Long.parseLong(issuedAt);
        if (ageMs < -MAX_AHEAD_MS) {
            return KeyValidity.MALFORMED;
        }
        return ageMs > MAX_AGE_MS ? KeyValidity.EXPIRED : KeyValidity.USABLE;
    }
}
