package org.sequoiaspindle.standins.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.state.ImmutableBytes;
import org.sequoiaspindle.standins.state.ListedInstance;
import org.sequoiaspindle.standins.state.VersionedValue;
import org.sequoiaspindle.standins.state.WriteResult;

/**
 * Guards against a write or deletion that is applied although its expected version does not match.
 */
final class KeyValueStoreTest {

    private static final long LEASE_MS = 100;

    /**
     * One call; it expects the current version if {@code versionsBehind} is 0, else an older or
     * absent version.
     */
    record Operation(boolean deletes, String key, int versionsBehind, String value) {}

    private final ManualScheduler scheduler = new ManualScheduler();
    private final KeyValueStore store = new KeyValueStore(scheduler::nowMs, scheduler);

    @Property(seed = "20261204", tries = 300)
    void conditionalChangesAgreeWithASequentialModel(
            @ForAll("operations") List<Operation> operations) {
        KeyValueStore testedStore = new KeyValueStore(scheduler::nowMs, scheduler);
        Map<String, String> values = new HashMap<>();
        Map<String, Long> versions = new HashMap<>();
        Map<String, Long> highestVersions = new HashMap<>();
        for (Operation operation : operations) {
            String key = operation.key();
            long actual = versions.getOrDefault(key, 0L);
            long expected =
                    operation.versionsBehind() == 0
                            ? actual
                            : Math.max(0, actual - operation.versionsBehind());
            WriteResult result =
                    operation.deletes()
                            ? testedStore.delete(key, expected)
                            : testedStore.write(
                                    key, expected, ImmutableBytes.of(operation.value()), 0);
            if (expected != actual) {
                assertEquals(new WriteResult.Conflict(actual), result);
            } else if (operation.deletes()) {
                values.remove(key);
                versions.remove(key);
            } else {
                long version = ((WriteResult.Applied) result).version();
                assertTrue(
                        version > highestVersions.getOrDefault(key, 0L), "versions must increase");
                highestVersions.put(key, version);
                versions.put(key, version);
                values.put(key, operation.value());
            }
            assertEquals(
                    Optional.ofNullable(values.get(key)),
                    testedStore.read(key).map(held -> held.value().text()));
            assertEquals(
                    versions.getOrDefault(key, 0L),
                    testedStore.read(key).map(VersionedValue::version).orElse(0L));
        }
    }

    @Provide
    Arbitrary<List<Operation>> operations() {
        return Combinators.combine(
                        Arbitraries.of(true, false, false),
                        Arbitraries.of("config/head", "claim/a"),
                        Arbitraries.of(0, 0, 1, 2),
                        Arbitraries.strings().alpha().ofMaxLength(3))
                .as(Operation::new)
                .list()
                .ofMaxSize(40);
    }

    @Test
    void concurrentIncrementsAreNeverLost() {
        int threads = 4;
        int incrementsEach = 500;
        CompletableFuture<?>[] writers =
                IntStream.range(0, threads)
                        .mapToObj(i -> CompletableFuture.runAsync(() -> count(incrementsEach)))
                        .toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(writers).join();
        assertEquals(
                Integer.toString(threads * incrementsEach),
                store.read("counter").orElseThrow().value().text());
    }

    private void count(int increments) {
        int done = 0;
        while (done < increments) {
            Optional<VersionedValue> held = store.read("counter");
            int next = held.map(value -> Integer.parseInt(value.value().text())).orElse(0) + 1;
            WriteResult result =
                    store.write(
                            "counter",
                            held.map(VersionedValue::version).orElse(0L),
                            ImmutableBytes.of(Integer.toString(next)),
                            0);
            done += result instanceof WriteResult.Applied ? 1 : 0;
        }
    }

    @Test
    void anExpiredLeaseRemovesItsKeysAndNoOthers() {
        long lease = store.leases().create(LEASE_MS);
        store.write("claim/a", 0, ImmutableBytes.of("a"), lease);
        store.write("claim/b", 0, ImmutableBytes.of("b"), 0);
        scheduler.advance(LEASE_MS);
        assertFalse(store.read("claim/a").isPresent());
        assertTrue(store.read("claim/b").isPresent());
        assertEquals(
                new WriteResult.LeaseNotFound(lease),
                store.write("claim/c", 0, ImmutableBytes.of("c"), lease));
    }

    @Test
    void aRenewedLeaseKeepsItsKeysForItsFullTimeToLive() {
        long lease = store.leases().create(LEASE_MS);
        store.write("claim/a", 0, ImmutableBytes.of("a"), lease);
        scheduler.advance(LEASE_MS - 1);
        assertTrue(store.leases().renew(lease));
        scheduler.advance(LEASE_MS - 1);
        assertTrue(store.read("claim/a").isPresent());
        scheduler.advance(1);
        assertFalse(store.read("claim/a").isPresent());
        assertFalse(store.leases().renew(lease));
    }

    @Test
    void aWatchIsNotifiedOnceOfANewerVersion() {
        List<Optional<VersionedValue>> notifications = new ArrayList<>();
        store.write("config/head", 0, ImmutableBytes.of("one"), 0);
        long version = store.read("config/head").orElseThrow().version();
        store.watch("config/head", version, notifications::add, () -> {});
        store.write("config/other", 0, ImmutableBytes.of("x"), 0);
        assertEquals(List.of(), notifications);
        store.write("config/head", version, ImmutableBytes.of("two"), 0);
        store.write("config/head", version + 2, ImmutableBytes.of("three"), 0);
        assertEquals(1, notifications.size());
        assertEquals("two", notifications.get(0).orElseThrow().value().text());
    }

    @Test
    void anOlderListNeverReplacesANewerOne() {
        DelayedInstanceList listing = new DelayedInstanceList(scheduler);
        ListedInstance older = new ListedInstance("entry", "a:1", "x", false);
        listing.set(List.of(older), LEASE_MS);
        assertEquals(List.of(), listing.visible());
        listing.set(List.of(), 1);
        scheduler.advance(LEASE_MS);
        assertEquals(List.of(), listing.visible());
        listing.set(List.of(older), LEASE_MS);
        scheduler.advance(LEASE_MS);
        assertEquals(List.of(older), listing.visible());
    }
}
