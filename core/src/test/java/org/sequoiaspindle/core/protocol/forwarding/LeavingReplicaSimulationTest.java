package org.sequoiaspindle.core.protocol.forwarding;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against sending to a replica that has reported that it leaves. */
final class LeavingReplicaSimulationTest {

    /** Time after which no request may reach a leaving replica, in milliseconds. */
    private static final long LEAVING_MS = 2_000;

    /** Time for connecting to a replica and for sending a request, in milliseconds. */
    private static final long SENDING_MS = 200;

    private static final String REPLICA = "servers/leaving";

    private static final int MAX_FREEZE_MS = 6_000;

    @Property(seed = "4712", tries = 300)
    void replicaIsDroppedInTimeThoughReadersLoseTheStore(@ForAll long seed) {
        leaveWhile(seed, (fleet, instance) -> fleet.store.setReachable(instance.name, false));
    }

    @Property(seed = "4713", tries = 300)
    void replicaIsDroppedInTimeThoughReadersFreeze(@ForAll long seed) {
        leaveWhile(seed, (fleet, instance) -> instance.freeze(MAX_FREEZE_MS, false));
    }

    @Property(seed = "4714", tries = 300)
    void replicaIsDroppedInTimeThoughReadersAreKilled(@ForAll long seed) {
        leaveWhile(seed, (fleet, instance) -> instance.kill());
    }

    @Property(seed = "4715", tries = 300)
    void replicaIsDroppedInTimeThoughReadersAreCutOffFromOtherInstances(@ForAll long seed) {
        leaveWhile(
                seed,
                (fleet, instance) ->
                        fleet.instances.forEach(
                                other -> {
                                    fleet.cutLink(instance, other);
                                    fleet.cutLink(other, instance);
                                }));
    }

    /** Lets a replica leave after a fault of some instances, and checks all other instances. */
    private static void leaveWhile(
            long seed, BiConsumer<SimulatedFleet, SimulatedFleet.Instance> fault) {
        Random random = new Random(seed);
        SimulatedFleet fleet = new SimulatedFleet(random, 2 + random.nextInt(8), 1);
        fleet.store.write(SimulatedFleet.CONFIGURATION_KEY, "1");
        fleet.store.write(REPLICA, "x");
        fleet.instances.forEach(SimulatedFleet.Instance::start);
        advance(fleet, 15_000 + random.nextInt(3_000));
        List<SimulatedFleet.Instance> shuffled = new ArrayList<>(fleet.instances);
        Collections.shuffle(shuffled, random);
        int faulty = 1 + random.nextInt(shuffled.size() - 1);
        shuffled.subList(0, faulty).forEach(instance -> fault.accept(fleet, instance));
        advance(fleet, random.nextInt(3_000));
        fleet.store.remove(REPLICA);
        advance(fleet, LEAVING_MS - SENDING_MS);
        for (SimulatedFleet.Instance instance : shuffled.subList(faulty, shuffled.size())) {
            assertTrue(instance.registry.replicas().all().isEmpty(), instance.name);
        }
    }

    private static void advance(SimulatedFleet fleet, long millis) {
        fleet.time.advance(millis, () -> {});
    }
}
