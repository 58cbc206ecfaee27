package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * State of an instance as reported in one of its heartbeats.
 *
 * @param instance identifier of the instance
 * @param dataCentre data centre in which the instance runs
 * @param address peer address, {@code ip:port}
 * @param incarnation wall-clock time at which the instance started, in milliseconds; higher after a
 *     restart
 * @param sequence number of the heartbeat within the incarnation
 * @param generation generation of the configuration that the instance uses
 * @param state readiness of the instance
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

    /** Returns whether this report was made after the other report of the same instance. */
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

    boolean isSameHeartbeat(PeerReport other) {
        return incarnation == other.incarnation && sequence == other.sequence;
    }
}
