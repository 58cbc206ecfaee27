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
 * Store in memory on virtual time. Every call takes a random time, so that calls overtake each
 * other; faults are drawn from the seed. Versions come from one counter and are never used twice.
 */
public final class FakeStore implements Store {
    private static final long ANSWER_LIMIT_MS = 3_000;
    private static final int MAX_DELAY_MS = 50;

    private final VirtualTime time;
    private final Random random;
    private final Map<String, List<Entry>> histories = new HashMap<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private final List<Runnable> parked = new ArrayList<>();
    private StoreFaults faults = StoreFaults.NONE;
    private boolean outage;
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

    private record Waiter(String key, long after, CompletableFuture<StoreResult> answer) {}

    public void faults(StoreFaults next) {
        faults = next;
    }

    /** While it lasts, every call is refused without effect. */
    public void outage(boolean lasts) {
        outage = lasts;
    }

    /** While it lasts, calls get no answer; they take effect when it ends. */
    public void freeze(boolean lasts) {
        frozen = lasts;
        if (!lasts) {
            List<Runnable> released = List.copyOf(parked);
            parked.clear();
            released.forEach(Runnable::run);
        }
    }

    public long calls() {
        return calls;
    }

    /** Values that the key has had, oldest first. */
    public List<String> values(String key) {
        return histories.getOrDefault(key, List.of()).stream()
                .filter(entry -> entry.value() != null)
                .map(entry -> entry.value().text())
                .toList();
    }

    /** Result of a command that takes effect at once and without faults. */
    public StoreResult direct(StoreCommand command) {
        return apply(command, new CompletableFuture<>(), false);
    }

    /** Sets the value of a key at once and without faults. */
    public void put(String key, String text) {
        long version =
                direct(new StoreCommand.Read(key)) instanceof StoreResult.Found found
                        ? found.version()
                        : StoreCommand.ABSENT;
        direct(new StoreCommand.CompareAndSwap(key, version, StoreValue.ofText(text)));
    }

    @Override
    public CompletionStage<StoreResult> execute(StoreCommand command) {
        calls++;
        CompletableFuture<StoreResult> answer = new CompletableFuture<>();
        long wait = command instanceof StoreCommand.AwaitChange await ? await.waitMillis() : 0;
        time.schedule(
                wait + ANSWER_LIMIT_MS,
                () -> answer.complete(new StoreResult.Unavailable("no answer in time")));
        if (outage) {
            time.schedule(
                    delay(), () -> answer.complete(new StoreResult.Unavailable("store is down")));
            return answer;
        }
        if (happens(faults.drop())) {
            return answer;
        }
        deliver(command, answer, !happens(faults.loseAnswer()));
        if (happens(faults.duplicate())) {
            deliver(command, answer, true);
        }
        return answer;
    }

    private void deliver(
            StoreCommand command, CompletableFuture<StoreResult> answer, boolean answered) {
        long delay = happens(faults.slow()) ? ANSWER_LIMIT_MS * 2 + delay() : delay();
        time.schedule(delay, () -> arrive(command, answer, answered));
    }

    private void arrive(
            StoreCommand command, CompletableFuture<StoreResult> answer, boolean answered) {
        if (frozen) {
            parked.add(() -> arrive(command, answer, answered));
            return;
        }
        CompletableFuture<StoreResult> reply = new CompletableFuture<>();
        StoreResult result = apply(command, reply, happens(faults.stale()));
        if (result != null) {
            reply.complete(result);
        }
        if (answered) {
            reply.thenAccept(value -> time.schedule(delay(), () -> answer.complete(value)));
        }
    }

    /** Result, or null if a watch waits and will complete the reply. */
    private StoreResult apply(
            StoreCommand command, CompletableFuture<StoreResult> reply, boolean stale) {
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
            leaseEnds.put(++lastVersion, time.now() + lease.ttlMillis());
            return new StoreResult.LeaseCreated(lastVersion);
        }
        return await((StoreCommand.AwaitChange) command, reply, stale);
    }

    private StoreResult await(
            StoreCommand.AwaitChange watch, CompletableFuture<StoreResult> reply, boolean stale) {
        Entry present = state(watch.key(), stale);
        if (stale || present.value() != null && present.version() > watch.afterVersion()) {
            return present.result();
        }
        waiters.add(new Waiter(watch.key(), watch.afterVersion(), reply));
        time.schedule(watch.waitMillis(), () -> reply.complete(new StoreResult.Unchanged()));
        return null;
    }

    private StoreResult write(String key, long expected, Supplier<Entry> next) {
        Entry present = state(key, false);
        long version = present.value() == null ? StoreCommand.ABSENT : present.version();
        if (version != expected) {
            return new StoreResult.Conflict(version);
        }
        Entry written = next.get();
        histories.computeIfAbsent(key, k -> new ArrayList<>()).add(written);
        List<Waiter> woken = waiters.stream().filter(w -> w.key().equals(key)).toList();
        waiters.removeAll(woken);
        woken.forEach(waiter -> waiter.answer().complete(written.result()));
        return new StoreResult.Swapped(written.version());
    }

    private Entry entry(StoreValue value, long lease) {
        return new Entry(value, ++lastVersion, lease);
    }

    private Entry state(String key, boolean stale) {
        List<Entry> history = histories.getOrDefault(key, List.of());
        int back = stale ? 1 + random.nextInt(3) : 0;
        int place = history.size() - 1 - back;
        if (place < 0) {
            return new Entry(null, StoreCommand.ABSENT, 0);
        }
        Entry entry = history.get(place);
        return entry.lease() == StoreCommand.NO_LEASE || isAlive(entry.lease())
                ? entry
                : new Entry(null, StoreCommand.ABSENT, 0);
    }

    private boolean isAlive(long lease) {
        return leaseEnds.getOrDefault(lease, 0L) > time.now();
    }

    private boolean happens(double probability) {
        return random.nextDouble() < probability;
    }

    private int delay() {
        return random.nextInt(MAX_DELAY_MS);
    }
}
