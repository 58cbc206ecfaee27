package org.sequoiaspindle.core.coordination.forwarding.replica;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.replica.PaceSimulation.Result;
import org.sequoiaspindle.core.coordination.forwarding.replica.PaceSimulation.Server;

/**
 * Loads under which replicas carry less than usual, each with the pace rule and with the rule that
 * restricts nothing. The bounds were fixed before the first run: callers accept two late answers in
 * a hundred, and a replica that refuses callers holds three times its slots.
 */
final class PaceScenariosTest {

    private static final double IN_TIME = 0.98;
    private static final double RARE = 0.01;
    private static final int WARM_UP_MS = 3_600;

    /** Part of an even share that a sound replica must get some seconds after its trouble. */
    private static final double USED = 0.8;

    /**
     * What callers got, the highest load of the replicas that the scenario is about, and what they
     * get in the end.
     */
    private record Seen(Result result, int maxLoad, double part) {}

    @Test
    void replicaThatWarmsUpForSecondsGetsWhatItCarries() {
        Function<Boolean, Seen> scenario =
                pace -> {
                    PaceSimulation simulation = simulation(pace, 20, 8, 0);
                    Server cold = simulation.add("cold");
                    long start = simulation.now();
                    cold.slowness = now -> warmingUp(now - start);
                    simulation.runUntil(start + WARM_UP_MS);
                    int maxLoad = cold.maxLoad;
                    Result result = simulation.runUntil(start + 8_000);
                    return new Seen(result, maxLoad, partOf(List.of(cold), simulation));
                };
        Seen paced = scenario.apply(true);
        Seen unpaced = scenario.apply(false);
        assertTrue(paced.result().shareInTime() >= IN_TIME, paced + " " + unpaced);
        assertTrue(paced.maxLoad() <= PaceSimulation.SLOTS, paced + " " + unpaced);
        assertTrue(paced.part() > USED, paced + " " + unpaced);
        assertTrue(late(paced) < late(unpaced), paced + " " + unpaced);
    }

    @Test
    void replicaThatFailsWhileItsReportsLookWellGetsFewRequests() {
        Function<Boolean, Seen> scenario =
                pace -> {
                    PaceSimulation simulation = simulation(pace, 20, 8, 0);
                    simulation.servers.get(0).failing = true;
                    return seen(
                            simulation.runUntil(simulation.now() + 10_000),
                            simulation.servers.get(0));
                };
        Seen paced = scenario.apply(true);
        Seen unpaced = scenario.apply(false);
        assertTrue(paced.result().shareFailed() <= 2 * RARE, paced + " " + unpaced);
        assertTrue(
                paced.result().shareFailed() < unpaced.result().shareFailed() / 4,
                paced + " " + unpaced);
    }

    @Test
    void slowMachineIsSparedAndUsedAgainWhenItHasRecovered() {
        Function<Boolean, Seen> scenario =
                pace -> {
                    PaceSimulation simulation = simulation(pace, 20, 8, 0);
                    Server slow = simulation.servers.get(0);
                    long start = simulation.now();
                    slow.slowness = now -> now < start + 10_000 ? 5 : 1;
                    Result result = simulation.runUntil(start + 20_000);
                    double part = partOf(List.of(slow), simulation);
                    return new Seen(result, slow.maxLoad, part);
                };
        Seen paced = scenario.apply(true);
        Seen unpaced = scenario.apply(false);
        assertTrue(paced.result().shareInTime() >= IN_TIME, paced + " " + unpaced);
        assertTrue(paced.part() > USED, paced + " " + unpaced);
        assertTrue(late(paced) < late(unpaced), paced + " " + unpaced);
    }

    @Test
    void replicaInACrashLoopLosesFewRequests() {
        Function<Boolean, Seen> scenario =
                pace -> {
                    PaceSimulation simulation = simulation(pace, 20, 8, 0);
                    int maxLoad = 0;
                    for (int i = 0; i < 8; i++) {
                        Server looping = simulation.add("looping" + i);
                        looping.crashesAbove = 4;
                        simulation.runUntil(simulation.now() + 1_500);
                        simulation.remove(looping);
                        maxLoad = Math.max(maxLoad, looping.maxLoad);
                    }
                    return new Seen(simulation.runUntil(simulation.now()), maxLoad, 0);
                };
        Seen paced = scenario.apply(true);
        Seen unpaced = scenario.apply(false);
        assertTrue(paced.result().shareFailed() <= RARE, paced + " " + unpaced);
        assertTrue(
                paced.result().shareFailed() < unpaced.result().shareFailed(),
                paced + " " + unpaced);
    }

    @Test
    void thirtyReplicasAddedAtOnceAreNotOverloadedWhileTheyWarmUp() {
        Function<Boolean, Seen> scenario =
                pace -> {
                    PaceSimulation simulation = simulation(pace, 87, 30, 0);
                    long start = simulation.now();
                    List<Server> added =
                            IntStream.range(0, 30)
                                    .mapToObj(i -> simulation.add("new" + i))
                                    .toList();
                    added.forEach(s -> s.slowness = now -> warmingUp(now - start));
                    simulation.runUntil(start + WARM_UP_MS);
                    int maxLoad = added.stream().mapToInt(s -> s.maxLoad).max().orElse(0);
                    Result result = simulation.runUntil(start + 8_000);
                    return new Seen(result, maxLoad, partOf(added, simulation));
                };
        Seen paced = scenario.apply(true);
        Seen unpaced = scenario.apply(false);
        assertTrue(paced.result().shareInTime() >= IN_TIME, paced + " " + unpaced);
        assertTrue(paced.maxLoad() <= PaceSimulation.SLOTS, paced + " " + unpaced);
        assertTrue(paced.part() > USED, paced + " " + unpaced);
        assertTrue(late(paced) < late(unpaced), paced + " " + unpaced);
    }

    @Test
    void instancesThatReadTheSameStaleReportsDoNotRushToTheReplicaThatLookedFree() {
        Function<Boolean, Seen> scenario =
                pace -> {
                    PaceSimulation simulation = simulation(pace, 95, 8, 500);
                    Server returning = simulation.servers.get(0);
                    long start = simulation.now();
                    returning.slowness = now -> now < start + 3_000 ? 8 : 1;
                    simulation.runUntil(start + 4_500);
                    returning.maxLoad = 0;
                    return seen(simulation.runUntil(start + 10_000), returning);
                };
        Seen paced = scenario.apply(true);
        Seen unpaced = scenario.apply(false);
        assertTrue(paced.result().shareRefused() <= RARE, paced + " " + unpaced);
        assertTrue(paced.maxLoad() <= 2 * PaceSimulation.SLOTS, paced + " " + unpaced);
        assertTrue(paced.maxLoad() <= unpaced.maxLoad(), paced + " " + unpaced);
    }

    /** The bound was set after a first trial of the loops, unlike those above. */
    @Test
    void affinityOfPromptsGivesReplicasThatWarmUpFewerOfThem() {
        Function<Boolean, Result> scenario =
                pace -> {
                    PaceSimulation simulation =
                            new PaceSimulation(pace, 87, 30, 0, ReplicaSelector.HASH_AFFINITY);
                    long start = simulation.now();
                    IntStream.range(0, 30)
                            .mapToObj(i -> simulation.add("new" + i))
                            .forEach(s -> s.slowness = now -> warmingUp(now - start));
                    return simulation.runUntil(start + 8_000);
                };
        Result paced = scenario.apply(true);
        Result unpaced = scenario.apply(false);
        assertTrue(
                1 - paced.shareInTime() < (1 - unpaced.shareInTime()) / 2, paced + " " + unpaced);
        assertTrue(paced.shareRefused() <= RARE, paced + " " + unpaced);
    }

    private static PaceSimulation simulation(boolean pace, int instances, int count, int staleMs) {
        return new PaceSimulation(pace, instances, count, staleMs, ReplicaSelector.LEAST_LOADED);
    }

    private static Seen seen(Result result, Server server) {
        return new Seen(result, server.maxLoad, 0);
    }

    /** Returns the requests that some replicas get in the next 3 s, as a part of an even share. */
    private static double partOf(List<Server> servers, PaceSimulation simulation) {
        int before = servers.stream().mapToInt(s -> s.received).sum();
        int allBefore = simulation.servers.stream().mapToInt(s -> s.received).sum();
        simulation.runUntil(simulation.now() + 3_000);
        int all = simulation.servers.stream().mapToInt(s -> s.received).sum() - allBefore;
        int received = servers.stream().mapToInt(s -> s.received).sum() - before;
        return (double) received * simulation.servers.size() / (all * servers.size());
    }

    private static double warmingUp(double sinceStart) {
        return Math.max(1, 10 - 9 * sinceStart / WARM_UP_MS);
    }

    private static double late(Seen seen) {
        return 1 - seen.result().shareInTime();
    }
}
