package org.sequoiaspindle.standins.state;

/**
 * Fault of the platform stand-in.
 *
 * @param delayMs delay of answers in mode {@code SLOW}, in milliseconds
 * @param keyPrefix the fault hits only keys with this prefix; calls without a key (leases, instance
 *     list) are hit only if it is empty
 */
public record PlatformFault(Mode mode, long delayMs, String keyPrefix) {

    /** Kinds of fault. */
    public enum Mode {
        NONE,
        /** Connections are closed without an answer and without effect. */
        DOWN,
        /** Calls take effect on arrival and are answered after the delay. */
        SLOW,
        /** Writes take effect, then the connection is closed without an answer. */
        EFFECT_WITHOUT_ANSWER,
        /** Reads answer with the state of the key before its last change. */
        STALE_READ,
        /** Watches are never answered, although the socket stays open. */
        SILENT_WATCH
    }

    public static PlatformFault none() {
        return of(Mode.NONE);
    }

    public static PlatformFault of(Mode mode) {
        return new PlatformFault(mode, 0, "");
    }

    public static PlatformFault slow(long delayMs) {
        return new PlatformFault(Mode.SLOW, delayMs, "");
    }

    /** The mode that applies to calls for this key; use an empty key for calls without one. */
    public Mode modeFor(String key) {
        return hits(key) ? mode : Mode.NONE;
    }

    public boolean hits(String key) {
        return key.startsWith(keyPrefix);
    }
}
