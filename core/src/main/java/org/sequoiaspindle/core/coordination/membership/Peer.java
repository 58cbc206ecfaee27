package org.sequoiaspindle.core.coordination.membership;

/**
 * Another instance with the last report about that instance.
 *
 * @param report newest report of the instance
 * @param lastHeardMillis time of the last heartbeat, by the clock of the table
 * @param relay whether the report came from the instance itself or through another instance
 */
public record Peer(PeerReport report, long lastHeardMillis, Relay relay) {

    /**
     * Time without a heartbeat after which a peer that sends heartbeats to this instance is
     * suspected: three missed heartbeats.
     */
    public static final long SUSPECT_MILLIS = 3_000;

    /**
     * Time without a report after which a peer known from a summary is suspected. Unchanged
     * summaries are repeated only every 10 s, so this allows for one repetition and the suspicion
     * time of the relaying instance.
     */
    public static final long RELAYED_SUSPECT_MILLIS = 15_000;

    /** Time without a report after which a peer is removed from the table. */
    public static final long FORGET_MILLIS = 60_000;

    /** Path by which a report arrived. */
    public enum Relay {
        /** Directly from the instance. */
        DIRECT,
        /** Through another instance, which receives the heartbeats of the reported instance. */
        RELAYED,
        /** Through another instance, which suspects the reported instance to have failed. */
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

    /** Returns whether the peer is considered live at {@code nowMillis}. */
    public boolean isLive(long nowMillis) {
        if (relay == Relay.RELAYED_SUSPECTED) {
            return false;
        }
        long limit = relay == Relay.DIRECT ? SUSPECT_MILLIS : RELAYED_SUSPECT_MILLIS;
        return nowMillis - lastHeardMillis <= limit;
    }

    boolean isExpired(long nowMillis) {
        return nowMillis - lastHeardMillis > FORGET_MILLIS;
    }
}
