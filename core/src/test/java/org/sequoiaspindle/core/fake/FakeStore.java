package org.sequoiaspindle.core.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/**
 * In-memory store on virtual time. Every call has a random delay, so that calls are reordered;
 * faults are drawn from the random generator. Versions come from one counter and are never reused.
 */
public final class FakeStore implements Store {
    private static final long RESPONSE_TIMEOUT_MS = 3_000;
    private static final int MAX_DELAY_MS = 50;

    private final VirtualTime time;
    private final Random random;
    private final Map<String, List<Entry>> histories = new HashMap<>();
    private final Map<Long, Long> leaseExpiryMs = new HashMap<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private final List<Runnable> deferredCalls = new ArrayList<>();
    private StoreFaults faults = StoreFaults.NONE;
    private boolean outageActive;
    private boolean frozen;
    private long lastVersion;
    private long calls;

    public FakeStore(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    /** State of a key after a write; the value is null after a delete. */
    private record Entry(StoreValue value, long version, long lease) {
        StoreResult result() {
            return value == null
                    ? new StoreResult.Missing()
                    : new StoreResult.Found(value, version);
        }
    }

    private record PendingWatch(String key, long after, CompletableFuture<StoreResult> response) {}

    public void setFaults(StoreFaults next) {
        faults = next;
    }

    /** Starts or ends an outage. During an outage, every call fails without effect. */
    public void setOutage(boolean active) {
        outageActive = active;
    }

    /**
     * Starts or ends a freeze. During a freeze, calls get no response; they take effect at its end.
     */
    public void setFrozen(boolean active) {
        frozen = active;
        if (!active) {
            List<Runnable> releasedCalls = List.copyOf(deferredCalls);
            deferredCalls.clear();
            releasedCalls.forEach(Runnable::run);
        }
    }

    public long calls() {
        return calls;
    }

    /** Returns all values that the key has had, oldest first. */
    public List<String> values(String key) {
        return histories.getOrDefault(key, List.of()).stream()
                .filter(entry -> entry.value() != null)
                .map(entry -> entry.value().text())
                .toList();
    }

    /** Executes a command at once and without faults. */
    public StoreResult executeDirectly(StoreCommand command) {
        return apply(command, new CompletableFuture<>(), false);
    }

    /** Sets the value of a key, at once and without faults. */
    public void put(String key, String value) {
        long version =
                executeDirectly(new StoreCommand.Read(key)) instanceof StoreResult.Found found
                        ? found.version()
                        : StoreCommand.ABSENT;
        executeDirectly(new StoreCommand.CompareAndSwap(key, version, StoreValue.ofString(value)));
    }

    @Override
    public CompletionStage<StoreResult> execute(StoreCommand command) {
        calls++;
        CompletableFuture<StoreResult> response = new CompletableFuture<>();
        long wait = command instanceof StoreCommand.AwaitChange await ? await.waitMillis() : 0;
        time.schedule(
                wait + RESPONSE_TIMEOUT_MS,
                () -> response.complete(new StoreResult.Unavailable("no answer in time")));
        if (outageActive) {
            time.schedule(
                    delay(), () -> response.complete(new StoreResult.Unavailable("store is down")));
            return response;
        }
        if (occurs(faults.drop())) {
            return response;
        }
        deliver(command, response, !occurs(faults.loseResponse()));
        if (occurs(faults.duplicate())) {
            deliver(command, response, true);
        }
        return response;
    }

    private void deliver(
            StoreCommand command, CompletableFuture<StoreResult> response, boolean sendResponse) {
        long delay = occurs(faults.slow()) ? RESPONSE_TIMEOUT_MS * 2 + delay() : delay();
        time.schedule(delay, () -> process(command, response, sendResponse));
    }

    private void process(
            StoreCommand command, CompletableFuture<StoreResult> response, boolean sendResponse) {
        if (frozen) {
            deferredCalls.add(() -> process(command, response, sendResponse));
            return;
        }
        CompletableFuture<StoreResult> appliedResult = new CompletableFuture<>();
        StoreResult result = apply(command, appliedResult, occurs(faults.stale()));
        if (result != null) {
            appliedResult.complete(result);
        }
        if (sendResponse) {
            appliedResult.thenAccept(
                    value -> time.schedule(delay(), () -> response.complete(value)));
        }
    }

    /**
     * Returns the result, or null if the command is a watch that completes {@code appliedResult}
     * later.
     */
    private StoreResult apply(
            StoreCommand command, CompletableFuture<StoreResult> appliedResult, boolean stale) {
        if (command instanceof StoreCommand.Read read) {
            return state(read.key(), stale).result();
        }
        if (command instanceof StoreCommand.CompareAndSwap swap) {
            if (swap.lease() != StoreCommand.NO_LEASE && !isAlive(swap.lease())) {
                return new StoreResult.Unavailable("no such lease");
            }
            return write(
                    swap.key(), swap.expectedVersion(), () -> entry(swap.value(), swap.lease()));
        }
        if (command instanceof StoreCommand.Delete delete) {
            return write(delete.key(), delete.expectedVersion(), () -> entry(null, 0));
        }
        if (command instanceof StoreCommand.CreateLease lease) {
            leaseExpiryMs.put(++lastVersion, time.now() + lease.ttlMillis());
            return new StoreResult.LeaseCreated(lastVersion);
        }
        return await((StoreCommand.AwaitChange) command, appliedResult, stale);
    }

    private StoreResult await(
            StoreCommand.AwaitChange watch,
            CompletableFuture<StoreResult> appliedResult,
            boolean stale) {
        Entry currentEntry = state(watch.key(), stale);
        if (stale
                || currentEntry.value() != null && currentEntry.version() > watch.afterVersion()) {
            return currentEntry.result();
        }
        pendingWatches.add(new PendingWatch(watch.key(), watch.afterVersion(), appliedResult));
        time.schedule(
                watch.waitMillis(), () -> appliedResult.complete(new StoreResult.Unchanged()));
        return null;
    }

    private StoreResult write(String key, long expected, Supplier<Entry> next) {
        Entry currentEntry = state(key, false);
        long version = currentEntry.value() == null ? StoreCommand.ABSENT : currentEntry.version();
        if (version != expected) {
            return new StoreResult.Conflict(version);
        }
        Entry newEntry = next.get();
        histories.computeIfAbsent(key, k -> new ArrayList<>()).add(newEntry);
        List<PendingWatch> triggeredWatches =
                pendingWatches.stream().filter(w -> w.key().equals(key)).toList();
        pendingWatches.removeAll(triggeredWatches);
        triggeredWatches.forEach(watch -> watch.response().complete(newEntry.result()));
        return new StoreResult.Swapped(newEntry.version());
    }

    private Entry entry(StoreValue value, long lease) {
        return new Entry(value, ++lastVersion, lease);
    }

    private Entry state(String key, boolean stale) {
        List<Entry> history = histories.getOrDefault(key, List.of());
        int versionsBack = stale ? 1 + random.nextInt(3) : 0;
        int index = history.size() - 1 - versionsBack;
        if (index < 0) {
            return new Entry(null, StoreCommand.ABSENT, 0);
        }
        Entry entry = history.get(index);
        return entry.lease() == StoreCommand.NO_LEASE || isAlive(entry.lease())
                ? entry
                : new Entry(null, StoreCommand.ABSENT, 0);
    }

    private boolean isAlive(long lease) {
        return leaseExpiryMs.getOrDefault(lease, 0L) > time.now();
    }

    private boolean occurs(double probability) {
        return random.nextDouble() < probability;
    }

    private int delay() {
        return random.nextInt(MAX_DELAY_MS);
    }
}
