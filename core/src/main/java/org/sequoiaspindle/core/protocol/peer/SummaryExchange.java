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
 * Sends summaries of the instances of this data centre to those peers in other data centres that
 * need the link to this instance, and applies the summaries received from peers in other data
 * centres.
 */
final class SummaryExchange {

    /** Minimum time between two summaries on a link, in milliseconds. */
    static final long MIN_INTERVAL_MILLIS = 2_000;

    /** Time after which an unchanged summary is sent again, in milliseconds. */
    static final long MAX_INTERVAL_MILLIS = 10_000;

    private final AtomicReference<Map<PeerSession, SentSummary>> lastSent =
            new AtomicReference<>(HashMap.empty());

    private record SentSummary(long atMillis, Vector<PeerMessage.Summary.Entry> content) {}

    /** Sends the summaries that are due on the links. */
    void sendDue(Vector<PeerSession> sessions, MembershipTable table) {
        Vector<PeerMessage.Summary.Entry> entries = toEntries(table);
        Vector<PeerMessage.Summary.Entry> content = entries.map(SummaryExchange::withoutTimes);
        PeerMessage summary = new PeerMessage.Summary(table.self().dataCentre(), entries);
        SentSummary current = new SentSummary(table.nowMillis(), content);
        sessions.filter(session -> isDue(session, current))
                .forEach(
                        session -> {
                            lastSent.updateAndGet(map -> map.put(session, current));
                            session.send(summary);
                        });
    }

    private boolean isDue(PeerSession session, SentSummary current) {
        Option<SentSummary> previous = lastSent.get().get(session);
        long age =
                previous.map(last -> current.atMillis() - last.atMillis())
                        .getOrElse(MAX_INTERVAL_MILLIS);
        return age >= MAX_INTERVAL_MILLIS
                || age >= MIN_INTERVAL_MILLIS
                        && !previous.map(SentSummary::content).contains(current.content());
    }

    void onLinkClosed(PeerSession session) {
        lastSent.updateAndGet(map -> map.remove(session));
    }

    /** Adds the summary of a peer in another data centre to the table. */
    static MembershipTable apply(
            MembershipTable table, PeerMessage.Summary summary, long nowMillis) {
        return summary.entries()
                .foldLeft(
                        table,
                        (t, e) ->
                                t.withRelayedReport(
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

    private static Vector<PeerMessage.Summary.Entry> toEntries(MembershipTable table) {
        return table.instances()
                .filter(peer -> peer.dataCentre().equals(table.self().dataCentre()))
                .filter(peer -> peer.relay() == Peer.Relay.DIRECT)
                .map(peer -> toEntry(peer, table.nowMillis()));
    }

    private static PeerMessage.Summary.Entry toEntry(Peer peer, long nowMillis) {
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
