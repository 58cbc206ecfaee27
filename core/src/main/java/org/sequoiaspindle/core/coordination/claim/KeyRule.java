package org.sequoiaspindle.core.coordination.claim;

/**
 * Decides whether an idempotency key of the form {@code <issued at, Unix ms>-<random>} may be used.
 * A key stops being usable one hour before its claim can vanish at the earliest, so that a late
 * repeat never finds the claim gone and runs again.
 */
public final class KeyRule {
    /** Longest key in characters. */
    public static final int MAX_LENGTH = 200;

    /** Age from which a key is never executed, in milliseconds. */
    public static final long MAX_AGE_MS = 23 * 3_600_000L;

    /** How far a caller's clock may be ahead, in milliseconds. */
    public static final long MAX_AHEAD_MS = 3_600_000L;

    /** Digits of the issue time; fifteen reach beyond the year 30000 and fit in a long. */
    private static final int MAX_DIGITS = 15;

    private KeyRule() {}

    /** Standing of the key at the wall time {@code nowMillis}. */
    public static KeyStanding standing(String key, long nowMillis) {
        int dash = key.indexOf('-');
        if (key.length() > MAX_LENGTH
                || dash < 1
                || dash > MAX_DIGITS
                || dash == key.length() - 1) {
            return KeyStanding.MALFORMED;
        }
        String issued = key.substring(0, dash);
        if (!issued.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return KeyStanding.MALFORMED;
        }
        long age = nowMillis - Long.parseLong(issued);
        if (age < -MAX_AHEAD_MS) {
            return KeyStanding.MALFORMED;
        }
        return age > MAX_AGE_MS ? KeyStanding.EXPIRED : KeyStanding.USABLE;
    }
}
