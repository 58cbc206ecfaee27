package org.sequoiaspindle.core.protocol.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * Serves equal listings of many callers from one listing of the platform's store, since all
 * instances list again at the same moment when the store discards its history. Confined to one
 * thread.
 */
final class SharedListing {

    /**
     * Time for which a page is used again, in milliseconds. Shorter than the time that a watch has
     * to catch up, so that a caller whose watch is behind does not get a page from before.
     */
    static final long REUSE_MS = 200;

    private final Store store;
    private final MillisClock clock;
    private final Map<StoreCommand.ListItems, Page> pages = new HashMap<>();

    private record Page(long sentAt, CompletionStage<StoreResult> result) {}

    SharedListing(Store store, MillisClock clock) {
        this.store = store;
        this.clock = clock;
    }

    CompletionStage<StoreResult> list(StoreCommand.ListItems command) {
        long now = clock.now();
        pages.values().removeIf(page -> now - page.sentAt() > REUSE_MS);
        return pages.computeIfAbsent(command, page -> new Page(now, store.execute(page))).result();
    }
}
