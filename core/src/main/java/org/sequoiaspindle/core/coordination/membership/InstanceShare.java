package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.Vector;

/**
 * Computes the share of the data centre's limits that an instance may use. One half is divided
 * evenly among the serving instances, so that an instance without traffic can serve calls as soon
 * as they arrive; the other half is divided in proportion to arrivals, so that a load balancer that
 * distributes calls unevenly leaves no slots idle. Pure function.
 */
public final class InstanceShare {

    private static final double EVENLY_DIVIDED_PART = 0.5;

    private InstanceShare() {}

    /**
     * Returns the share of the instance that owns the table, above 0 and at most 1, based on the
     * heartbeats of its data centre.
     */
    public static double of(MembershipTable table) {
        String self = table.self().instance();
        Vector<PeerReport> otherReports =
                table.liveLocal()
                        .map(Peer::report)
                        .filter(report -> !report.instance().equals(self))
                        .filter(report -> report.state() == PeerState.SERVING);
        int instanceCount = otherReports.size() + 1;
        double selfArrivals = arrivals(table.self());
        double totalArrivals =
                selfArrivals + otherReports.map(InstanceShare::arrivals).sum().doubleValue();
        if (totalArrivals == 0) {
            return 1.0 / instanceCount;
        }
        return EVENLY_DIVIDED_PART / instanceCount
                + (1 - EVENLY_DIVIDED_PART) * selfArrivals / totalArrivals;
    }

    private static double arrivals(PeerReport report) {
        return report.load().values().map(GroupLoad::arrivals).sum().doubleValue();
    }
}
