package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.collection.Vector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/** Simulated time and a simulated store with leases, whose calls are delayed or lost. */
final class SimulatedWorld {

    private static final long CALL_TIMEOUT_MS = 1_000;

    private record Event(long at, long number, Runnable action) {}

    private record Item(StoreValue value, long lease, long revision) {}

    final Random random;
    final List<Consumer<StoreChange>> watchers = new ArrayList<>();
    long now;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.number(), b.number()));
    private final Map<String, Item> items = new HashMap<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private long eventNumber;
    private long revision;
    int claimCount;

    SimulatedWorld(Random random) {
        this.random = random;
    }

    void at(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), eventNumber++, action));
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            expireLeases();
            event.action().run();
        }
    }

    /** Executes a command after a delay; both the command and the result may be lost or late. */
    CompletionStage<StoreResult> execute(StoreCommand command, boolean cut, long maxDelay) {
        CompletableFuture<StoreResult> result = new CompletableFuture<>();
        at(now + CALL_TIMEOUT_MS, () -> result.complete(new StoreResult.Unavailable("timed out")));
        boolean lost = cut && random.nextBoolean();
        if (!lost) {
            at(
                    now + delay(maxDelay),
                    () -> {
                        StoreResult value = apply(command);
                        if (!cut) {
                            at(now + delay(maxDelay), () -> result.complete(value));
                        }
                    });
        }
        return result;
    }

    /** Returns a short delay, or now and then a long one. */
    long delay(long max) {
        return random.nextInt(10) == 0 ? random.nextLong(max + 1) : random.nextLong(5);
    }

    long revision() {
        return revision;
    }

    Vector<StoreChange.Written> listing() {
        return Vector.ofAll(items.entrySet())
                .map(
                        e ->
                                new StoreChange.Written(
                                        e.getKey(), e.getValue().value(), e.getValue().revision()));
    }

    private StoreResult apply(StoreCommand command) {
        if (command instanceof StoreCommand.CreateLease create) {
            long lease = ++revision;
            leaseTtls.put(lease, create.ttlMillis());
            leaseEnds.put(lease, now + create.ttlMillis());
            return new StoreResult.LeaseCreated(lease);
        }
        if (command instanceof StoreCommand.RenewLease renew) {
            if (!leaseEnds.containsKey(renew.lease())) {
                return new StoreResult.LeaseLost();
            }
            leaseEnds.put(renew.lease(), now + leaseTtls.get(renew.lease()));
            return new StoreResult.LeaseRenewed();
        }
        if (command instanceof StoreCommand.CompareAndSwap write) {
            return write(write);
        }
        StoreCommand.Delete delete = (StoreCommand.Delete) command;
        Item item = items.get(delete.key());
        if (item == null || item.revision() != delete.expectedVersion()) {
            return new StoreResult.Conflict(item == null ? 0 : item.revision());
        }
        remove(delete.key());
        return new StoreResult.Swapped(revision);
    }

    private StoreResult write(StoreCommand.CompareAndSwap write) {
        claimCount += write.key().startsWith(IssuerKeys.PREFIX) ? 1 : 0;
        Item item = items.get(write.key());
        long version = item == null ? StoreCommand.ABSENT : item.revision();
        if (version != write.expectedVersion()) {
            return new StoreResult.Conflict(version);
        }
        if (!leaseEnds.containsKey(write.lease())) {
            return new StoreResult.Unavailable("no such lease");
        }
        items.put(write.key(), new Item(write.value(), write.lease(), ++revision));
        publish(new StoreChange.Written(write.key(), write.value(), revision));
        return new StoreResult.Swapped(revision);
    }

    private void expireLeases() {
        for (long lease : List.copyOf(leaseEnds.keySet())) {
            if (leaseEnds.get(lease) <= now) {
                leaseEnds.remove(lease);
                items.entrySet().stream()
                        .filter(entry -> entry.getValue().lease() == lease)
                        .map(Map.Entry::getKey)
                        .toList()
                        .forEach(this::remove);
            }
        }
    }

    private void remove(String key) {
        items.remove(key);
        publish(new StoreChange.Removed(key, ++revision));
    }

    private void publish(StoreChange change) {
        List.copyOf(watchers).forEach(watcher -> watcher.accept(change));
    }
}
