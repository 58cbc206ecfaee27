package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.fake.FakeObjectSets;
import org.sequoiaspindle.core.fake.FakeProcess;
import org.sequoiaspindle.core.fake.FakeStore;
import org.sequoiaspindle.core.fake.StoreFaults;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * Simulates instances that follow publications while the store and peers are faulty. The object set
 * of generation {@code n} has {@code n} slots, so that the generation of an instance can be derived
 * from its object set.
 */
final class FollowerSimulation {
    private static final int INSTANCES = 5;
    private static final int WATCHERS = 2;
    private static final int GENERATIONS = 8;
    private static final long FAULT_PHASE_MS = 60_000;
    private static final long RECOVERY_PHASE_MS = 20_000;

    private final Random random;
    private final VirtualTime time;
    private final FakeStore store;
    private final FakeObjectSets sets = new FakeObjectSets();
    private final List<ConfigurationHead> heads = new ArrayList<>();
    private final List<SimulatedInstance> instances = new ArrayList<>();
    private final long[] highestGeneration = new long[INSTANCES];
    private Option<String> violation = Option.none();
    private boolean faulty = true;

    FollowerSimulation(long seed) {
        random = new Random(seed);
        time = new VirtualTime(0, random);
        store = new FakeStore(time, random);
    }

    /** An instance under test. */
    record SimulatedInstance(
            HeadReceiver receiver,
            LongSupplier generation,
            Supplier<ObjectSet> objects,
            Supplier<ActiveConfiguration> activeConfiguration) {}

    /** Creates an instance under test. */
    interface InstanceFactory {
        SimulatedInstance create(
                Store store,
                Timer timer,
                boolean watching,
                ObjectSetFunctions functions,
                Consumer<ActiveConfiguration> announce);
    }

    /** Runs the simulation and returns the first violated guarantee. */
    Option<String> findViolation(InstanceFactory factory) {
        store.setFaults(StoreFaults.MANY);
        for (int i = 0; i < INSTANCES; i++) {
            FakeProcess process = new FakeProcess(time);
            int self = i;
            instances.add(
                    factory.create(
                            process.store(store),
                            process.timer(),
                            i < WATCHERS,
                            sets.functions(),
                            activeConfiguration -> announce(self, activeConfiguration)));
            time.schedule(random.nextInt(40_000), () -> process.pause(random.nextInt(10_000)));
        }
        for (int generation = 1; generation <= GENERATIONS; generation++) {
            int next = generation;
            time.schedule(generation * 5_000L, () -> publish(next));
        }
        long outage = random.nextInt(40_000);
        time.schedule(outage, () -> store.setOutage(true));
        time.schedule(outage + 5_000, () -> store.setOutage(false));
        gossip();
        time.advance(FAULT_PHASE_MS, this::check);
        faulty = false;
        store.setFaults(StoreFaults.NONE);
        time.advance(RECOVERY_PHASE_MS, this::check);
        return violation.orElse(this::findLaggingInstance);
    }

    private void publish(int generation) {
        ConfigurationParts parts =
                ConfigurationParts.split(
                        FakeObjectSets.withSlots(generation), sets.functions().writer());
        parts.partsByDigest()
                .forEach((digest, text) -> store.put(ConfigurationKeys.part(digest), text));
        ConfigurationHead head =
                new ConfigurationHead(
                        generation, "s", "operator", 0, Vector.empty(), parts.references());
        heads.add(head);
        store.put(ConfigurationKeys.HEAD, HeadWriter.write(head));
    }

    /**
     * Offers a random instance the head of another instance and, during the fault phase, a random
     * head published earlier.
     */
    private void gossip() {
        SimulatedInstance to = instances.get(random.nextInt(INSTANCES));
        int from = random.nextInt(INSTANCES);
        instances
                .get(from)
                .activeConfiguration()
                .get()
                .head()
                .forEach(head -> to.receiver().offer(head, peer(from)));
        if (faulty && !heads.isEmpty()) {
            to.receiver().offer(heads.get(random.nextInt(heads.size())), peer(from));
        }
        time.schedule(random.nextInt(400), this::gossip);
    }

    private void announce(int self, ActiveConfiguration activeConfiguration) {
        for (SimulatedInstance instance : instances) {
            time.schedule(
                    random.nextInt(2_000),
                    () -> instance.receiver().offer(activeConfiguration.head().get(), peer(self)));
        }
    }

    /**
     * Returns a source that fetches parts from a peer. During the fault phase the peer may respond
     * late, with an error, with missing or corrupt parts, or not at all.
     */
    private PartSource peer(int index) {
        return digests -> {
            CompletableFuture<Either<String, Map<String, String>>> fetch =
                    new CompletableFuture<>();
            Map<String, String> parts =
                    instances.get(index).activeConfiguration().get().select(digests);
            Either<String, Map<String, String>> fetchResult =
                    switch (faulty ? random.nextInt(5) : 0) {
                        case 1 -> Either.left("link closed");
                        case 2 -> Either.right(parts.mapValues(text -> text + " "));
                        case 3 -> Either.right(parts.drop(1));
                        default -> Either.right(parts);
                    };
            if (!faulty || random.nextInt(5) > 0) {
                time.schedule(random.nextInt(1_500), () -> fetch.complete(fetchResult));
            }
            return fetch;
        };
    }

    private void check() {
        for (int i = 0; i < INSTANCES; i++) {
            SimulatedInstance instance = instances.get(i);
            long generation = instance.generation().getAsLong();
            if (generation < highestGeneration[i]) {
                recordViolation(
                        "instance "
                                + i
                                + " went from "
                                + highestGeneration[i]
                                + " back to "
                                + generation);
            }
            if (FakeObjectSets.slots(instance.objects().get()) != generation) {
                recordViolation("instance " + i + " holds another set than that of " + generation);
            }
            Option<ConfigurationHead> served = instance.activeConfiguration().get().head();
            if (!served.map(ConfigurationHead::generation).getOrElse(0L).equals(generation)) {
                recordViolation("instance " + i + " serves another generation than " + generation);
            }
            highestGeneration[i] = Math.max(highestGeneration[i], generation);
        }
    }

    private void recordViolation(String text) {
        violation = violation.orElse(Option.some("at " + time.now() + " ms: " + text));
    }

    private Option<String> findLaggingInstance() {
        return Vector.range(0, INSTANCES)
                .find(i -> instances.get(i).generation().getAsLong() != GENERATIONS)
                .map(i -> "instance " + i + " never reached the last generation");
    }
}
