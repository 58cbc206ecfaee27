package org.sequoiaspindle.core.protocol.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * Serves the reads of one key by many callers from few reads of the platform's store. Each caller
 * is answered from a read that was sent after the caller asked, so that the result is as recent as
 * that of a read of its own. Confined to one thread.
 */
final class SharedRead {

    /**
     * Minimum interval between two reads, in milliseconds. It bounds the time for which a caller
     * waits, and with it the age of a key confirmation.
     */
    static final long READ_INTERVAL_MS = 1_000;

    /**
     * Time after a failed read for which other instances are turned away at once, in milliseconds.
     * The instance itself keeps trying, so the store's return is noticed earlier.
     */
    private static final long FAILURE_MEMORY_MS = 2_000;

    private final Store store;
    private final String key;
    private final MillisClock clock;
    private final Timer timer;
    private List<Caller> callers = new ArrayList<>();
    private boolean readScheduled;
    private boolean reading;
    private long sentAt = Long.MIN_VALUE / 2;
    private boolean failing;
    private long failedAt;

    private record Caller(long knownRevision, CompletableFuture<StoreResult> result) {}

    SharedRead(Store store, String key, MillisClock clock, Timer timer) {
        this.store = store;
        this.key = key;
        this.clock = clock;
        this.timer = timer;
    }

    /** Returns whether the last read failed, a short time ago. */
    boolean isFailing() {
        return failing && clock.now() - failedAt <= FAILURE_MEMORY_MS;
    }

    /** Reads the key; see {@link StoreCommand.ReadNewer}. */
    CompletionStage<StoreResult> read(long knownRevision) {
        Caller caller = new Caller(knownRevision, new CompletableFuture<>());
        callers.add(caller);
        readSoon();
        return caller.result();
    }

    /** Reads at the end of the interval, or at once for a caller that has just started. */
    private void readSoon() {
        boolean urgent =
                failing || callers.stream().anyMatch(caller -> caller.knownRevision() == 0);
        if (urgent) {
            readNow();
        } else if (!readScheduled) {
            readScheduled = true;
            timer.schedule(
                    sentAt + READ_INTERVAL_MS - clock.now(),
                    () -> {
                        readScheduled = false;
                        readNow();
                    });
        }
    }

    private void readNow() {
        if (reading || callers.isEmpty()) {
            return;
        }
        reading = true;
        sentAt = clock.now();
        List<Caller> served = callers;
        callers = new ArrayList<>();
        long known = served.stream().mapToLong(Caller::knownRevision).min().orElse(0);
        Invariants.reportFailure(
                store.execute(new StoreCommand.ReadNewer(key, known))
                        .thenAccept(result -> readCompleted(served, result)));
    }

    private void readCompleted(List<Caller> served, StoreResult result) {
        reading = false;
        failing = !(result instanceof StoreResult.Listed);
        failedAt = clock.now();
        served.forEach(caller -> caller.result().complete(resultFor(caller, result)));
        if (!callers.isEmpty()) {
            readSoon();
        }
    }

    private static StoreResult resultFor(Caller caller, StoreResult result) {
        return result instanceof StoreResult.Listed listed
                ? new StoreResult.Listed(
                        listed.items().filter(item -> item.revision() > caller.knownRevision()),
                        listed.more(),
                        listed.revision())
                : result;
    }
}
