package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;

/** Reports and tables for the tests of this package. */
final class Reports {

    private Reports() {}

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

    /** Table of one instance that has just heard all the others. */
    static MembershipTable table(PeerReport self, Vector<PeerReport> others) {
        return others.foldLeft(
                MembershipTable.of(self, Vector.empty(), 0),
                (table, report) -> table.heard(report, 0));
    }
}
