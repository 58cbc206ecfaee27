package org.sequoiaspindle.core.protocol.forwarding;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against instances that together send more to a cold replica than it tolerates. */
final class ColdEndpointBoundTest {

    private static final long BOUND = SimulatedSender.RATE.bound(SimulatedSender.SPEC);
    private static final long HISTORY_MS = 20_000;
    private static final int MAX_FAULTS = 25;

    /** Sends and claims in one history. */
    private record Result(List<Long> sends, int claims) {

        /** Returns the largest number of sends in any second. */
        int maxPerSecond() {
            int max = 0;
            int first = 0;
            for (int last = 0; last < sends.size(); last++) {
                while (sends.get(last) - sends.get(first) >= 1_000) {
                    first++;
                }
                max = Math.max(max, last - first + 1);
            }
            return max;
        }
    }

    @Property(seed = "20261206", tries = 300)
    void noSecondHasMoreSendsThanTheBoundWhateverFails(
            @ForAll @IntRange(min = 1, max = 12) int instances, @ForAll long seed) {
        int max = run(instances, seed, MAX_FAULTS, false).maxPerSecond();
        assertTrue(max <= BOUND, () -> "sends in one second: " + max);
    }

    @Test
    void historiesFindThatSharesByCountedPeersExceedTheBound() {
        assertTrue(run(12, 1, MAX_FAULTS, true).maxPerSecond() > BOUND);
    }

    @Test
    void calmFleetUsesAlmostAllPermitsAfterOneClaim() {
        Result result = run(12, 1, 0, false);
        assertTrue(result.sends().size() > 180, () -> "sends: " + result.sends().size());
        assertTrue(result.claims() <= 2, () -> "claims: " + result.claims());
    }

    private static Result run(int instances, long seed, int faults, boolean naive) {
        SimulatedWorld world = new SimulatedWorld(new Random(seed));
        Map<String, SimulatedSender> fleet = new TreeMap<>();
        Map<String, SimulatedSender.Machine> machines = new TreeMap<>();
        List<Long> sends = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            String name = "i" + i;
            SimulatedSender.Machine machine = new SimulatedSender.Machine();
            machines.put(name, machine);
            if (faults > 0) {
                machine.watchLag = world.random.nextLong(SimulatedSender.TTL_MS);
                machine.sendsInBursts = world.random.nextBoolean();
            }
            new SimulatedSender(world, name, machine, fleet, sends).start(naive);
        }
        for (int i = 0; i < world.random.nextInt(faults + 1); i++) {
            String name = "i" + world.random.nextInt(instances);
            world.at(
                    world.random.nextLong(HISTORY_MS),
                    () -> {
                        if (world.random.nextInt(8) == 0) {
                            fleet.get(name).list();
                        } else if (!injectFault(world, machines.get(name))) {
                            fleet.get(name).stop();
                            new SimulatedSender(world, name, machines.get(name), fleet, sends)
                                    .start(naive);
                        }
                    });
        }
        world.runUntil(HISTORY_MS);
        return new Result(sends, world.claimCount);
    }

    /** Changes a machine at random; returns false if the process has to be restarted instead. */
    private static boolean injectFault(SimulatedWorld world, SimulatedSender.Machine machine) {
        // Longer than a lease, so that roles change hands.
        long millis = world.random.nextLong(4 * SimulatedSender.TTL_MS);
        switch (world.random.nextInt(8)) {
            case 0 -> machine.cutUntil = world.now + millis;
            case 1 -> machine.frozenUntil = world.now + millis;
            case 2 -> {
                machine.frozenUntil = world.now + millis;
                world.at(machine.frozenUntil, () -> machine.suspendedMillis += millis);
            }
            case 3 -> machine.watchLag = millis;
            case 4 -> machine.maxDelay = millis / 4;
            case 5 -> machine.wallStep += millis - 2_000;
            case 6 -> machine.sendsInBursts = !machine.sendsInBursts;
            default -> {
                return false;
            }
        }
        return true;
    }
}
