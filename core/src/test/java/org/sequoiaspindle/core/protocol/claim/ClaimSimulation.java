package org.sequoiaspindle.core.protocol.claim;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;
import org.sequoiaspindle.core.fake.FakeProcess;
import org.sequoiaspindle.core.fake.FakeStore;
import org.sequoiaspindle.core.fake.StoreFaults;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.state.Outcome;

/**
 * Simulates callers that use the same few keys through several processes. The processes are paused
 * and killed between claim, execution and recording, and the store loses, delays and repeats calls.
 * A run is determined by its seed.
 */
final class ClaimSimulation {
    static final long START_MS = 1_800_000_000_000L;

    private static final int PROCESSES = 4;
    private static final int KEYS = 3;
    private static final int CALLERS = 40;
    private static final int LATE_CALLERS = 12;
    private static final int BUSY_PERIOD_MS = 30_000;
    private static final int LATE_PERIOD_MS = 30 * 3_600_000;

    private final Random random;
    private final VirtualTime time;
    private final FakeStore store;
    private final ClaimMechanism.Factory factory;
    private final List<SimulatedInstance> instances = new ArrayList<>();
    private final Map<String, List<RecordedOutcome>> executions = new HashMap<>();
    private final Map<String, Set<RecordedOutcome>> replays = new HashMap<>();
    private final Map<Class<?>, Integer> results = new HashMap<>();
    private int processCount;

    ClaimSimulation(long seed, ClaimMechanism.Factory factory) {
        this.random = new Random(seed);
        this.time = new VirtualTime(START_MS, random);
        this.store = new FakeStore(time, random);
        this.factory = factory;
    }

    private record SimulatedInstance(FakeProcess process, ClaimMechanism mechanism) {}

    /** Runs the simulation and returns the first violation of a guarantee, or none. */
    Option<String> violation() {
        store.setFaults(StoreFaults.MANY);
        for (int i = 0; i < PROCESSES; i++) {
            instances.add(start());
        }
        for (int i = 0; i < CALLERS; i++) {
            time.schedule(random.nextInt(BUSY_PERIOD_MS), this::claimRandomKey);
        }
        for (int i = 0; i < LATE_CALLERS; i++) {
            time.schedule(random.nextInt(LATE_PERIOD_MS), this::claimRandomKey);
        }
        scheduleStoreFaults();
        time.advance(LATE_PERIOD_MS);
        store.setFaults(StoreFaults.NONE);
        time.advance(BUSY_PERIOD_MS);
        return firstViolation();
    }

    private void scheduleStoreFaults() {
        long outageStart = random.nextInt(BUSY_PERIOD_MS);
        time.schedule(outageStart, () -> store.setOutage(true));
        time.schedule(outageStart + random.nextInt(3_000), () -> store.setOutage(false));
        long freezeStart = random.nextInt(BUSY_PERIOD_MS);
        time.schedule(freezeStart, () -> store.setFrozen(true));
        time.schedule(freezeStart + random.nextInt(3_000), () -> store.setFrozen(false));
    }

    private SimulatedInstance start() {
        FakeProcess process = new FakeProcess(time);
        ClaimMechanism mechanism =
                factory.create(
                        process.store(store),
                        process.timer(),
                        time::now,
                        "instance-" + processCount++);
        return new SimulatedInstance(process, mechanism);
    }

    private void claimRandomKey() {
        int index = random.nextInt(PROCESSES);
        SimulatedInstance instance = instances.get(index);
        String key = START_MS + "-" + random.nextInt(KEYS);
        String digest = random.nextInt(10) == 0 ? "other" : "digest";
        instance.process()
                .receive(instance.mechanism().claim("organisation", key, digest))
                .thenAccept(result -> proceed(index, instance, key, result));
    }

    private void proceed(int index, SimulatedInstance instance, String key, ClaimResult result) {
        results.merge(result.getClass(), 1, Integer::sum);
        if (result instanceof ClaimResult.Replay replay) {
            replays.computeIfAbsent(key, k -> new HashSet<>()).add(replay.outcome());
        }
        if (!(result instanceof ClaimResult.Granted granted)) {
            return;
        }
        if (random.nextInt(6) == 0) {
            instance.mechanism().release(granted.heldClaim());
            return;
        }
        pauseOrKill(index, instance);
        instance.process()
                .timer()
                .schedule(
                        random.nextInt(100),
                        () -> execute(index, instance, key, granted.heldClaim()));
    }

    /**
     * Executes the request on a simulated endpoint, which accepts every call, including repeated
     * ones.
     */
    private void execute(int index, SimulatedInstance instance, String key, HeldClaim heldClaim) {
        List<RecordedOutcome> executedOutcomes =
                executions.computeIfAbsent(key, k -> new ArrayList<>());
        RecordedOutcome outcome =
                random.nextInt(4) == 0
                        ? RecordedOutcome.of(Outcome.FAILED, "", "ENDPOINT_ERROR")
                        : RecordedOutcome.of(
                                Outcome.ANSWERED, "answer " + heldClaim.claim().attempt(), "");
        executedOutcomes.add(outcome);
        pauseOrKill(index, instance);
        instance.process()
                .timer()
                .schedule(
                        random.nextInt(5_000),
                        () -> instance.mechanism().finish(heldClaim, outcome));
    }

    private void pauseOrKill(int index, SimulatedInstance instance) {
        int chance = random.nextInt(10);
        if (chance < 2) {
            instance.process().pause(random.nextInt(20_000));
        } else if (chance == 2) {
            instance.process().kill();
            instances.set(index, start());
        }
    }

    private Option<String> firstViolation() {
        for (Map.Entry<String, List<RecordedOutcome>> entry : executions.entrySet()) {
            if (entry.getValue().size() > 1) {
                return Option.some(
                        "key " + entry.getKey() + " ran " + entry.getValue().size() + " times");
            }
        }
        for (Map.Entry<String, Set<RecordedOutcome>> entry : replays.entrySet()) {
            Set<RecordedOutcome> executedOutcomes =
                    Set.copyOf(executions.getOrDefault(entry.getKey(), List.of()));
            if (!executedOutcomes.equals(entry.getValue())) {
                return Option.some(
                        "key "
                                + entry.getKey()
                                + " replayed "
                                + entry.getValue()
                                + " after "
                                + executedOutcomes);
            }
        }
        return Option.none();
    }

    /** Returns the number of results of the kind, to check that a run covers all kinds. */
    int count(Class<? extends ClaimResult> kind) {
        return results.getOrDefault(kind, 0);
    }
}
