package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.Vector;

/**
 * Which instances of a data centre watch the store and poll the platform's list. Two of them do, so
 * that the loss of one delays nothing. Every instance decides by its own table; tables that
 * disagree for a moment cost a few more watches and no correctness.
 */
public final class WatcherRule {

    /** Watchers in a data centre that has enough instances. */
    public static final int WATCHERS = 2;

    private static final String CHOOSER = "watchers";

    private WatcherRule() {}

    /** Whether the owner of the table is a watcher; true if it sees no other instance to do it. */
    public static boolean watches(MembershipTable table) {
        Vector<String> watchers = watchers(table);
        return watchers.isEmpty() || watchers.contains(table.self().instance());
    }

    /** Watchers of the data centre in the eyes of the table's owner; draining ones have left. */
    public static Vector<String> watchers(MembershipTable table) {
        Vector<String> candidates =
                table.liveLocal()
                        .filter(peer -> peer.report().state() != PeerState.DRAINING)
                        .map(Peer::instance);
        return Rendezvous.rank(CHOOSER, candidates, id -> id).take(WATCHERS);
    }
}
