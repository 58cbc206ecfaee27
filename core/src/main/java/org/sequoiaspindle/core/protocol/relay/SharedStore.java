package org.sequoiaspindle.core.protocol.relay;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * Merges the reads of this instance and of the instances that read through it into few calls of the
 * platform's store. Confined to one thread, on which the store must also complete its results.
 */
public final class SharedStore implements Store {

    private final Store store;
    private final String sharedKey;
    private final SharedRead read;
    private final SharedWatch watch;
    private final SharedListing listing;

    /**
     * Creates a store without merged reads so far.
     *
     * @param store client of the platform's store
     * @param sharedKey key whose reads are merged
     */
    public SharedStore(Store store, String sharedKey, MillisClock clock, Timer timer) {
        this.store = store;
        this.sharedKey = sharedKey;
        this.read = new SharedRead(store, sharedKey, clock, timer);
        this.watch = new SharedWatch(store, clock, timer);
        this.listing = new SharedListing(store, clock);
    }

    /** Returns whether other instances may execute a command here, and its result may be shared. */
    public static boolean isShareable(StoreCommand command) {
        return command instanceof StoreCommand.ReadNewer
                || command instanceof StoreCommand.ListItems list && !list.mayBeStale()
                || command instanceof StoreCommand.AwaitChanges awaited
                        && awaited.prefix().isEmpty();
    }

    @Override
    public CompletionStage<StoreResult> execute(StoreCommand command) {
        if (command instanceof StoreCommand.ReadNewer newer && newer.key().equals(sharedKey)) {
            return read.read(newer.knownRevision());
        }
        if (command instanceof StoreCommand.AwaitChanges awaited && isShareable(command)) {
            return watch.await(awaited.afterRevision(), awaited.waitMillis());
        }
        return command instanceof StoreCommand.ListItems list && isShareable(command)
                ? listing.list(list)
                : store.execute(command);
    }

    /**
     * Executes a command for another instance. While the store does not respond to this instance,
     * the command fails at once, so that the other instance does not lose time here.
     */
    public CompletionStage<StoreResult> executeForPeer(StoreCommand command) {
        if (!isShareable(command)) {
            return unavailable("the command is not shared between instances");
        }
        return read.isFailing()
                ? unavailable("the reader does not reach the store")
                : execute(command);
    }

    private static CompletionStage<StoreResult> unavailable(String reason) {
        return CompletableFuture.completedFuture(new StoreResult.Unavailable(reason));
    }
}
