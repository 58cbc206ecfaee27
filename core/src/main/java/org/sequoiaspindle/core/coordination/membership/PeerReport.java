package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * What an instance says of itself in one heartbeat.
 *
 * @param instance identifier of the instance
 * @param dataCentre data centre in which it runs
 * @param address peer address, {@code ip:port}
 * @param incarnation wall time of its start in milliseconds; higher after a restart
 * @param sequence number of the heartbeat within the incarnation
 * @param generation generation of the configuration in force there
 * @param state its readiness
 * @param load load by endpoint group
 */
public record PeerReport(
        String instance,
        String dataCentre,
        String address,
        long incarnation,
        long sequence,
        long generation,
        PeerState state,
        Map<String, GroupLoad> load) {

    /** Whether this was said after the other report of the same instance. */
    public boolean isNewerThan(PeerReport other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }

    public PeerReport withoutLoad() {
        return new PeerReport(
                instance,
                dataCentre,
                address,
                incarnation,
                sequence,
                generation,
                state,
                HashMap.empty());
    }

    boolean isSameAs(PeerReport other) {
        return incarnation == other.incarnation && sequence == other.sequence;
    }
}
