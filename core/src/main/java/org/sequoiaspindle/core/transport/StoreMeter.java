package org.sequoiaspindle.core.transport;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.LongAdder;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/** Counts the calls of a store by kind. A call counts when it is made, whatever its result. */
public final class StoreMeter implements Store {
    private final Store store;
    private final LongAdder reads = new LongAdder();
    private final LongAdder swaps = new LongAdder();
    private final LongAdder watches = new LongAdder();
    private final LongAdder deletes = new LongAdder();
    private final LongAdder leases = new LongAdder();
    private final LongAdder unavailable = new LongAdder();

    public StoreMeter(Store store) {
        this.store = store;
    }

    /**
     * Calls since the start.
     *
     * @param unavailable calls that ended without a usable answer, counted under their kind too
     */
    public record Count(
            long reads, long swaps, long watches, long deletes, long leases, long unavailable) {
        /** All calls. */
        public long total() {
            return reads + swaps + watches + deletes + leases;
        }
    }

    @Override
    public CompletionStage<StoreResult> execute(StoreCommand command) {
        adder(command).increment();
        return store.execute(command)
                .thenApply(
                        result -> {
                            if (result instanceof StoreResult.Unavailable) {
                                unavailable.increment();
                            }
                            return result;
                        });
    }

    public Count count() {
        return new Count(
                reads.sum(),
                swaps.sum(),
                watches.sum(),
                deletes.sum(),
                leases.sum(),
                unavailable.sum());
    }

    private LongAdder adder(StoreCommand command) {
        if (command instanceof StoreCommand.Read) {
            return reads;
        }
        if (command instanceof StoreCommand.CompareAndSwap) {
            return swaps;
        }
        if (command instanceof StoreCommand.AwaitChange) {
            return watches;
        }
        return command instanceof StoreCommand.Delete ? deletes : leases;
    }
}
