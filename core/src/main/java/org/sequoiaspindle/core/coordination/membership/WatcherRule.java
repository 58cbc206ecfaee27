package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.Vector;

/**
 * Selects the instances of a data centre that watch the store and poll the platform's list. There
 * are two, so that the loss of one causes no delay. Every instance decides from its own membership
 * table; if tables differ for a moment, a few more instances watch, which is harmless.
 */
public final class WatcherRule {

    /** Maximum number of watchers per data centre. */
    public static final int WATCHERS = 2;

    private static final String CHOOSER = "watchers";

    private WatcherRule() {}

    /** Whether the owner of the table is a watcher; true if no instance is eligible. */
    public static boolean isWatcher(MembershipTable table) {
        Vector<String> watchers = watchers(table);
        return watchers.isEmpty() || watchers.contains(table.self().instance());
    }

    /**
     * Returns the watchers of the data centre of the table's owner. Draining instances are not
     * eligible.
     */
    public static Vector<String> watchers(MembershipTable table) {
        Vector<String> candidates =
                table.liveLocal()
                        .filter(peer -> peer.report().state() != PeerState.DRAINING)
                        .map(Peer::instance);
        return RendezvousHashing.rank(CHOOSER, candidates, id -> id).take(WATCHERS);
    }
}
