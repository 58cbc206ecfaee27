package org.sequoiaspindle.standins.state;

/**
 * Fault that the platform stand-in simulates.
 *
 * @param delayMs delay of responses in mode {@code SLOW}, in milliseconds
 * @param keyPrefix prefix of the affected keys; calls without a key (leases, instance list) are
 *     affected only if the prefix is empty
 */
public record PlatformFault(Mode mode, long delayMs, String keyPrefix) {

    /** Kinds of fault. */
    public enum Mode {
        NONE,
        /** Connections are closed without executing or answering the call. */
        DOWN,
        /** Calls are executed on arrival; the response is sent after the delay. */
        SLOW,
        /** Writes are executed, then the connection is closed without a response. */
        EFFECT_WITHOUT_ANSWER,
        /** Reads return the value of the key before the last change of the key. */
        STALE_READ,
        /** Watches get no response, although the connection stays open. */
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

    /**
     * Returns the fault mode that applies to calls on a key; the key is empty for calls without a
     * key.
     */
    public Mode modeFor(String key) {
        return appliesTo(key) ? mode : Mode.NONE;
    }

    public boolean appliesTo(String key) {
        return key.startsWith(keyPrefix);
    }
}
