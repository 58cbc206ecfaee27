package org.sequoiaspindle.core.coordination.membership;

/**
 * An instance that has been heard of.
 *
 * @param report the newest thing that it said
 * @param lastHeardMillis when it said so, by the clock of the table
 * @param relay whether the report came from itself or through another instance
 */
public record Peer(PeerReport report, long lastHeardMillis, Relay relay) {

    /** Silence after which a directly heard peer is suspected: three missed heartbeats. */
    public static final long SUSPECT_MILLIS = 3_000;

    /**
     * Silence after which a peer known from a summary is suspected. Unchanged summaries are
     * repeated every 10 s only, so this allows one repetition and the suspicion time of the
     * relaying side.
     */
    public static final long RELAYED_SUSPECT_MILLIS = 15_000;

    /** Silence after which a peer is forgotten. */
    public static final long FORGET_MILLIS = 60_000;

    /** How a report arrived. */
    public enum Relay {
        /** From the instance itself. */
        DIRECT,
        /** Through an instance that hears it. */
        RELAYED,
        /** Through an instance that suspects it. */
        RELAYED_SUSPECTED
    }

    public String instance() {
        return report.instance();
    }

    public String dataCentre() {
        return report.dataCentre();
    }

    public String address() {
        return report.address();
    }

    /** Whether the peer counts as live at the time. */
    public boolean isLive(long nowMillis) {
        if (relay == Relay.RELAYED_SUSPECTED) {
            return false;
        }
        long limit = relay == Relay.DIRECT ? SUSPECT_MILLIS : RELAYED_SUSPECT_MILLIS;
        return nowMillis - lastHeardMillis <= limit;
    }

    boolean isForgotten(long nowMillis) {
        return nowMillis - lastHeardMillis > FORGET_MILLIS;
    }
}
