package org.sequoiaspindle.core.transport;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.LongAdder;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * Counts the calls to a store by kind. A call is counted when it is made, regardless of its result.
 */
public final class StoreCallCounter implements Store {
    private final Store delegate;
    private final LongAdder reads = new LongAdder();
    private final LongAdder swaps = new LongAdder();
    private final LongAdder watches = new LongAdder();
    private final LongAdder deletes = new LongAdder();
    private final LongAdder leases = new LongAdder();
    private final LongAdder unavailable = new LongAdder();

    public StoreCallCounter(Store store) {
        this.delegate = store;
    }

    /**
     * Number of calls since creation, by kind.
     *
     * @param unavailable calls without a usable response, which are also counted by kind
     */
    public record Counts(
            long reads, long swaps, long watches, long deletes, long leases, long unavailable) {
        /** Returns the number of calls of all kinds. */
        public long total() {
            return reads + swaps + watches + deletes + leases;
        }
    }

    @Override
    public CompletionStage<StoreResult> execute(StoreCommand command) {
        counterFor(command).increment();
        return delegate.execute(command)
                .thenApply(
                        result -> {
                            if (result instanceof StoreResult.Unavailable) {
                                unavailable.increment();
                            }
                            return result;
                        });
    }

    public Counts counts() {
        return new Counts(
                reads.sum(),
                swaps.sum(),
                watches.sum(),
                deletes.sum(),
                leases.sum(),
                unavailable.sum());
    }

    private LongAdder counterFor(StoreCommand command) {
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
