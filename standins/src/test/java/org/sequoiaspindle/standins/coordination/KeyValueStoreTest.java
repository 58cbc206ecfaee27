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
import org.sequoiaspindle.standins.state.Content;
import org.sequoiaspindle.standins.state.ListedInstance;
import org.sequoiaspindle.standins.state.Versioned;
import org.sequoiaspindle.standins.state.WriteResult;

/** Guards against a store that accepts a write or deletion whose condition does not hold. */
final class KeyValueStoreTest {

    private static final long LEASE_MS = 100;

    /** One call; the guess 0 names the present version, others an older or absent one. */
    record Operation(boolean deletes, String key, int guess, String value) {}

    private final ManualTimer timer = new ManualTimer();
    private final KeyValueStore store = new KeyValueStore(timer::nowMs, timer);

    @Property(seed = "20261204", tries = 300)
    void conditionalChangesAgreeWithASequentialModel(
            @ForAll("operations") List<Operation> operations) {
        KeyValueStore tested = new KeyValueStore(timer::nowMs, timer);
        Map<String, String> values = new HashMap<>();
        Map<String, Long> versions = new HashMap<>();
        Map<String, Long> highest = new HashMap<>();
        for (Operation operation : operations) {
            String key = operation.key();
            long actual = versions.getOrDefault(key, 0L);
            long expected =
                    operation.guess() == 0 ? actual : Math.max(0, actual - operation.guess());
            WriteResult result =
                    operation.deletes()
                            ? tested.delete(key, expected)
                            : tested.write(key, expected, Content.of(operation.value()), 0);
            if (expected != actual) {
                assertEquals(new WriteResult.Conflict(actual), result);
            } else if (operation.deletes()) {
                values.remove(key);
                versions.remove(key);
            } else {
                long version = ((WriteResult.Applied) result).version();
                assertTrue(version > highest.getOrDefault(key, 0L), "versions must rise");
                highest.put(key, version);
                versions.put(key, version);
                values.put(key, operation.value());
            }
            assertEquals(
                    Optional.ofNullable(values.get(key)),
                    tested.read(key).map(held -> held.value().text()));
            assertEquals(
                    versions.getOrDefault(key, 0L),
                    tested.read(key).map(Versioned::version).orElse(0L));
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
            Optional<Versioned> held = store.read("counter");
            int next = held.map(value -> Integer.parseInt(value.value().text())).orElse(0) + 1;
            WriteResult result =
                    store.write(
                            "counter",
                            held.map(Versioned::version).orElse(0L),
                            Content.of(Integer.toString(next)),
                            0);
            done += result instanceof WriteResult.Applied ? 1 : 0;
        }
    }

    @Test
    void aLapsedLeaseRemovesItsKeysAndNoOthers() {
        long lease = store.leases().create(LEASE_MS);
        store.write("claim/a", 0, Content.of("a"), lease);
        store.write("claim/b", 0, Content.of("b"), 0);
        timer.advance(LEASE_MS);
        assertFalse(store.read("claim/a").isPresent());
        assertTrue(store.read("claim/b").isPresent());
        assertEquals(
                new WriteResult.LeaseGone(lease),
                store.write("claim/c", 0, Content.of("c"), lease));
    }

    @Test
    void aRenewedLeaseKeepsItsKeysForItsFullTime() {
        long lease = store.leases().create(LEASE_MS);
        store.write("claim/a", 0, Content.of("a"), lease);
        timer.advance(LEASE_MS - 1);
        assertTrue(store.leases().renew(lease));
        timer.advance(LEASE_MS - 1);
        assertTrue(store.read("claim/a").isPresent());
        timer.advance(1);
        assertFalse(store.read("claim/a").isPresent());
        assertFalse(store.leases().renew(lease));
    }

    @Test
    void aWatchIsToldOnceOfAVersionAboveItsOwn() {
        List<Optional<Versioned>> told = new ArrayList<>();
        store.write("config/head", 0, Content.of("one"), 0);
        long version = store.read("config/head").orElseThrow().version();
        store.watch("config/head", version, told::add, () -> {});
        store.write("config/other", 0, Content.of("x"), 0);
        assertEquals(List.of(), told);
        store.write("config/head", version, Content.of("two"), 0);
        store.write("config/head", version + 2, Content.of("three"), 0);
        assertEquals(1, told.size());
        assertEquals("two", told.get(0).orElseThrow().value().text());
    }

    @Test
    void anOlderListNeverReplacesANewerOne() {
        InstanceListing listing = new InstanceListing(timer);
        ListedInstance older = new ListedInstance("entry", "a:1", "x", false);
        listing.set(List.of(older), LEASE_MS);
        assertEquals(List.of(), listing.visible());
        listing.set(List.of(), 1);
        timer.advance(LEASE_MS);
        assertEquals(List.of(), listing.visible());
        listing.set(List.of(older), LEASE_MS);
        timer.advance(LEASE_MS);
        assertEquals(List.of(older), listing.visible());
    }
}
