package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.Vector;

/**
 * Selects the instances of a data centre that watch the store and poll the platform's instance
 * list. Two instances are selected, so that the loss of one instance causes no delay. Every
 * instance decides from its own membership table. If tables differ for a moment, a few more
 * instances watch, which is harmless.
 */
public final class WatcherRule {

    /** Maximum number of watchers per data centre. */
    public static final int WATCHERS = 2;

    private static final String CHOOSER = "watchers";

    private WatcherRule() {}

    /**
     * Returns whether the owner of the table is a watcher, which is also the case if no instance is
     * eligible.
     */
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
