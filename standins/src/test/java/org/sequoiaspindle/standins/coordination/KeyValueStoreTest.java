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
 * Guards against lost updates. They happen when a write or deletion is applied to a key that does
 * not have the expected version.
 */
final class KeyValueStoreTest {

    private static final long LEASE_MS = 100;

    /**
     * One write or deletion.
     *
     * @param versionsBehind by how much the expected version is lower than the current version; 0
     *     if the expected version is the current version
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
                    testedStore.read(key).map(current -> current.value().toUtf8String()));
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
                        .mapToObj(
                                i ->
                                        CompletableFuture.runAsync(
                                                () -> incrementCounter(incrementsEach)))
                        .toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(writers).join();
        assertEquals(
                Integer.toString(threads * incrementsEach),
                store.read("counter").orElseThrow().value().toUtf8String());
    }

    private void incrementCounter(int increments) {
        int applied = 0;
        while (applied < increments) {
            Optional<VersionedValue> current = store.read("counter");
            int next =
                    current.map(value -> Integer.parseInt(value.value().toUtf8String())).orElse(0)
                            + 1;
            WriteResult result =
                    store.write(
                            "counter",
                            current.map(VersionedValue::version).orElse(0L),
                            ImmutableBytes.of(Integer.toString(next)),
                            0);
            applied += result instanceof WriteResult.Applied ? 1 : 0;
        }
    }

    @Test
    void anExpiredLeaseRemovesOnlyTheAttachedKeys() {
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
    void aRenewedLeaseKeepsTheAttachedKeysForTheFullTimeToLive() {
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
    void aWatchIsNotifiedExactlyOnceOfANewerVersion() {
        List<Optional<VersionedValue>> notifications = new ArrayList<>();
        store.write("config/head", 0, ImmutableBytes.of("one"), 0);
        long version = store.read("config/head").orElseThrow().version();
        store.watch("config/head", version, notifications::add, () -> {});
        store.write("config/other", 0, ImmutableBytes.of("x"), 0);
        assertEquals(List.of(), notifications);
        store.write("config/head", version, ImmutableBytes.of("two"), 0);
        store.write("config/head", version + 2, ImmutableBytes.of("three"), 0);
        assertEquals(1, notifications.size());
        assertEquals("two", notifications.get(0).orElseThrow().value().toUtf8String());
    }

    @Test
    void anOlderInstanceListNeverReplacesANewerInstanceList() {
        DelayedInstanceList instanceList = new DelayedInstanceList(scheduler);
        ListedInstance instance = new ListedInstance("entry", "a:1", "x", false);
        instanceList.set(List.of(instance), LEASE_MS);
        assertEquals(List.of(), instanceList.visibleInstances());
        instanceList.set(List.of(), 1);
        scheduler.advance(LEASE_MS);
        assertEquals(List.of(), instanceList.visibleInstances());
        instanceList.set(List.of(instance), LEASE_MS);
        scheduler.advance(LEASE_MS);
        assertEquals(List.of(instance), instanceList.visibleInstances());
    }
}
