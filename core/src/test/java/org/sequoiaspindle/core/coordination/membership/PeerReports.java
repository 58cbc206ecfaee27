package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;

/** Creates peer reports and membership tables for the tests of this package. */
final class PeerReports {

    private PeerReports() {}

    static PeerReport report(String instance, String dataCentre, long incarnation, long sequence) {
        return new PeerReport(
                instance,
                dataCentre,
                "10.0.0." + instance + ":7000",
                incarnation,
                sequence,
                1,
                PeerState.SERVING,
                HashMap.empty());
    }

    /**
     * Returns the table of an instance that has just received a heartbeat of every other instance.
     */
    static MembershipTable table(PeerReport self, Vector<PeerReport> others) {
        return others.foldLeft(
                MembershipTable.of(self, Vector.empty(), 0),
                (table, report) -> table.withHeartbeat(report, 0));
    }
}
