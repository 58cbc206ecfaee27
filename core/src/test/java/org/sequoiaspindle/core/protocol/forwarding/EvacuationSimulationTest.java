package org.sequoiaspindle.core.protocol.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.forwarding.SimulatedFleet.EvacuationMerge;
import org.sequoiaspindle.core.state.forwarding.Evacuations;

/**
 * Guards against requests to evacuated data centres: an instance that returns to an older state, or
 * that learns too late, while instances, links and the store fail in random order.
 */
final class EvacuationSimulationTest {

    /** Time after a write by which instances in contact have to act on it, in milliseconds. */
    private static final long LEARN_MS = 4_800;

    /** Time without disturbance after which an instance is in contact, in milliseconds. */
    private static final long CONTACT_MS = 4_000;

    private static final int MAX_FREEZE_MS = 6_000;
    private static final int PLANTED_FAULT_SEEDS = 100;
    private static final List<String> DATA_CENTRES = List.of("dc-0", "dc-1");

    /** Lets whatever is read last replace the state, as if updates never were late. */
    private static final EvacuationMerge LAST_READ_WINS =
            (current, update) -> {
                if (update instanceof Evacuations.Listing) {
                    return Evacuations.UNREAD.with(update);
                }
                Evacuations.Change change = (Evacuations.Change) update;
                Map<String, Evacuations.Entry> entries = new HashMap<>(current.entries());
                entries.put(
                        change.dataCentre(),
                        new Evacuations.Entry(change.evacuated(), change.revision()));
                return new Evacuations(entries, current.listedRevision());
            };

    private static final EvacuationMerge LISTINGS_ONLY =
            (current, update) ->
                    update instanceof Evacuations.Change ? current : current.with(update);

    /** States of a data centre by the revision of the store at which they began. */
    private final Map<String, TreeMap<Long, Boolean>> states = new HashMap<>();

    private final Map<String, Long> changedAt = new HashMap<>();
    private final Map<String, Long> contactSince = new HashMap<>();
    private final Map<String, Long> knownRevisions = new HashMap<>();

    @Property(seed = "4716", tries = 200)
    void noOlderStateReturnsAndInstancesInContactLearnInTime(@ForAll long seed) {
        run(seed, Evacuations::with);
    }

    @Test
    void simulationFindsAMergeThatIgnoresRevisions() {
        assertFound(LAST_READ_WINS);
    }

    @Test
    void simulationFindsInstancesThatMissChanges() {
        assertFound(LISTINGS_ONLY);
    }

    /** Guards against further calls of the store, each of which has a price. */
    @Test
    void evacuationsCostOneListingWithTheFullListingAndNothingElse() {
        assertEquals(
                callsOfOneInstance(Optional.empty()) + 1,
                callsOfOneInstance(Optional.of(Evacuations::with)));
    }

    private static int callsOfOneInstance(Optional<EvacuationMerge> merge) {
        SimulatedFleet fleet = new SimulatedFleet(new Random(1), 1, 1, merge);
        fleet.store.write(SimulatedFleet.CONFIGURATION_KEY, "1");
        fleet.instances.get(0).start();
        fleet.time.advance(30_000);
        return fleet.store.calls();
    }

    private void assertFound(EvacuationMerge fault) {
        assertThrows(
                AssertionError.class,
                () -> {
                    for (int seed = 0; seed < PLANTED_FAULT_SEEDS; seed++) {
                        run(seed, fault);
                    }
                });
    }

    private void run(long seed, EvacuationMerge merge) {
        List.of(states, changedAt, contactSince, knownRevisions).forEach(Map::clear);
        Random random = new Random(seed);
        SimulatedFleet fleet =
                new SimulatedFleet(
                        random, 1 + random.nextInt(12), 1 + random.nextInt(3), Optional.of(merge));
        fleet.store.write(SimulatedFleet.CONFIGURATION_KEY, "1");
        DATA_CENTRES.forEach(
                name -> states.put(name, new TreeMap<>(Map.of(fleet.store.revision(), false))));
        fleet.instances.forEach(instance -> start(fleet, instance));
        for (int step = 0; step < 60; step++) {
            SimulatedFleet.Instance instance =
                    fleet.instances.get(random.nextInt(fleet.instances.size()));
            disturb(fleet, instance, random);
            for (int change = random.nextInt(24); change < 3; change++) {
                change(fleet, DATA_CENTRES.get(random.nextInt(DATA_CENTRES.size())));
            }
            fleet.time.advance(random.nextInt(1_500), () -> check(fleet));
        }
    }

    private void disturb(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
        switch (random.nextInt(8)) {
            case 0 -> instance.kill();
            case 1, 2 -> start(fleet, instance);
            case 3 -> {
                int millis = random.nextInt(MAX_FREEZE_MS);
                instance.freeze(millis, random.nextBoolean());
                contactSince.merge(instance.name, fleet.time.now() + millis, Math::max);
            }
            case 4 -> {
                fleet.store.setReachable(instance.name, false);
                contactSince.put(instance.name, Long.MAX_VALUE / 2);
            }
            case 5 -> {
                fleet.instances.forEach(other -> fleet.store.setReachable(other.name, true));
                contactSince.replaceAll((name, since) -> fleet.time.now() + MAX_FREEZE_MS);
            }
            case 6 ->
                    fleet.cutLink(
                            instance, fleet.instances.get(random.nextInt(fleet.instances.size())));
            default -> {
                fleet.store.compact();
                fleet.healLinks();
            }
        }
    }

    private void start(SimulatedFleet fleet, SimulatedFleet.Instance instance) {
        instance.start();
        contactSince.merge(instance.name, fleet.time.now(), Math::max);
    }

    private void change(SimulatedFleet fleet, String dataCentre) {
        boolean evacuated = !states.get(dataCentre).lastEntry().getValue();
        if (evacuated) {
            fleet.store.write(SimulatedFleet.EVACUATION_PREFIX + dataCentre, "{}");
        } else {
            fleet.store.remove(SimulatedFleet.EVACUATION_PREFIX + dataCentre);
        }
        states.get(dataCentre).put(fleet.store.revision(), evacuated);
        changedAt.put(dataCentre, fleet.time.now());
    }

    private void check(SimulatedFleet fleet) {
        long now = fleet.time.now();
        for (SimulatedFleet.Instance instance : SimulatedFleet.running(fleet.instances)) {
            Evacuations known = instance.registry.evacuations();
            boolean inContact = now - contactSince.get(instance.name) >= CONTACT_MS;
            assertTrue(known.isListed() || !inContact, () -> instance.name + " has no listing");
            for (String name : DATA_CENTRES) {
                if (known.isListed()) {
                    checkState(instance, name, known);
                }
                if (inContact && now - changedAt.getOrDefault(name, 0L) >= LEARN_MS) {
                    boolean evacuated = states.get(name).lastEntry().getValue();
                    assertEquals(evacuated, known.isEvacuated(name), instance.name);
                }
            }
        }
    }

    private void checkState(SimulatedFleet.Instance instance, String name, Evacuations known) {
        long revision = known.knownRevision(name);
        String key = System.identityHashCode(instance.registry) + " " + name;
        Long before = knownRevisions.put(key, revision);
        assertTrue(before == null || revision >= before, "an older state came back");
        assertEquals(states.get(name).floorEntry(revision).getValue(), known.isEvacuated(name));
    }
}
