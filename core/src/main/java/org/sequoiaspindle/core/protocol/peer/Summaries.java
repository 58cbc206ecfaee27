package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.coordination.membership.MembershipTable;
import org.sequoiaspindle.core.coordination.membership.Peer;
import org.sequoiaspindle.core.coordination.membership.PeerReport;

/**
 * Passes the instances of this data centre on to peers of other data centres that chose this one.
 */
final class Summaries {

    /** Least time between two summaries on a link. */
    static final long INTERVAL_MILLIS = 2_000;

    /** Time after which an unchanged summary is repeated. */
    static final long REPEAT_MILLIS = 10_000;

    private final AtomicReference<Map<PeerSession, Sent>> sent =
            new AtomicReference<>(HashMap.empty());

    private record Sent(long atMillis, Vector<PeerMessage.Summary.Entry> content) {}

    /** Sends what is due on the links. */
    void tick(Vector<PeerSession> sessions, MembershipTable table) {
        Vector<PeerMessage.Summary.Entry> entries = entries(table);
        Vector<PeerMessage.Summary.Entry> content = entries.map(Summaries::withoutTimes);
        PeerMessage summary = new PeerMessage.Summary(table.self().dataCentre(), entries);
        Sent now = new Sent(table.nowMillis(), content);
        sessions.filter(session -> isDue(session, now))
                .forEach(
                        session -> {
                            sent.updateAndGet(map -> map.put(session, now));
                            session.send(summary);
                        });
    }

    private boolean isDue(PeerSession session, Sent now) {
        Option<Sent> before = sent.get().get(session);
        long age = before.map(last -> now.atMillis() - last.atMillis()).getOrElse(REPEAT_MILLIS);
        return age >= REPEAT_MILLIS
                || age >= INTERVAL_MILLIS && !before.map(Sent::content).contains(now.content());
    }

    void lost(PeerSession session) {
        sent.updateAndGet(map -> map.remove(session));
    }

    /** Enters what a peer of another data centre passed on. */
    static MembershipTable enter(
            MembershipTable table, PeerMessage.Summary summary, long nowMillis) {
        return summary.entries()
                .foldLeft(
                        table,
                        (t, e) ->
                                t.relayed(
                                        new PeerReport(
                                                e.instance(),
                                                summary.dataCentre(),
                                                e.address(),
                                                e.incarnation(),
                                                e.sequence(),
                                                e.generation(),
                                                e.state(),
                                                HashMap.empty()),
                                        e.suspected(),
                                        e.ageMillis(),
                                        nowMillis));
    }

    private static Vector<PeerMessage.Summary.Entry> entries(MembershipTable table) {
        return table.instances()
                .filter(peer -> peer.dataCentre().equals(table.self().dataCentre()))
                .filter(peer -> peer.relay() == Peer.Relay.DIRECT)
                .map(peer -> entry(peer, table.nowMillis()));
    }

    private static PeerMessage.Summary.Entry entry(Peer peer, long nowMillis) {
        PeerReport report = peer.report();
        return new PeerMessage.Summary.Entry(
                report.instance(),
                report.address(),
                report.incarnation(),
                report.sequence(),
                report.generation(),
                report.state(),
                !peer.isLive(nowMillis),
                nowMillis - peer.lastHeardMillis());
    }

    private static PeerMessage.Summary.Entry withoutTimes(PeerMessage.Summary.Entry e) {
        return new PeerMessage.Summary.Entry(
                e.instance(),
                e.address(),
                e.incarnation(),
                0,
                e.generation(),
                e.state(),
                e.suspected(),
                0);
    }
}
