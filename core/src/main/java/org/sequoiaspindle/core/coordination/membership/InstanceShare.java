package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.Vector;

/**
 * Share of the data centre's limits that an instance may use. Half follows the number of serving
 * instances, so that a quiet one can start at once; half follows the arrivals, so that an uneven
 * balancer leaves no slots idle. Pure function.
 */
public final class InstanceShare {

    private static final double EVEN_PART = 0.5;

    private InstanceShare() {}

    /** Share of this instance by the heartbeats of its data centre, above 0 to 1. */
    public static double of(MembershipTable table) {
        String self = table.self().instance();
        Vector<PeerReport> others =
                table.liveLocal()
                        .map(Peer::report)
                        .filter(report -> !report.instance().equals(self))
                        .filter(report -> report.state() == PeerState.SERVING);
        int instances = others.size() + 1;
        double own = arrivals(table.self());
        double all = own + others.map(InstanceShare::arrivals).sum().doubleValue();
        if (all == 0) {
            return 1.0 / instances;
        }
        return EVEN_PART / instances + (1 - EVEN_PART) * own / all;
    }

    private static double arrivals(PeerReport report) {
        return report.load().values().map(GroupLoad::arrivals).sum().doubleValue();
    }
}
