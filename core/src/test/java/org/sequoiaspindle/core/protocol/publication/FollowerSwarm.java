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
import org.sequoiaspindle.core.fake.FakeProcess;
import org.sequoiaspindle.core.fake.FakeSets;
import org.sequoiaspindle.core.fake.FakeStore;
import org.sequoiaspindle.core.fake.StoreFaults;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * Instances that follow publications while store and peers misbehave. Generation {@code n} is the
 * set with {@code n} slots, so that each instance can be judged by what it holds.
 */
final class FollowerSwarm {
    private static final int INSTANCES = 5;
    private static final int WATCHERS = 2;
    private static final int GENERATIONS = 8;
    private static final long FAULTY_MS = 60_000;
    private static final long QUIET_MS = 20_000;

    private final Random random;
    private final VirtualTime time;
    private final FakeStore store;
    private final FakeSets sets = new FakeSets();
    private final List<Head> heads = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final long[] seen = new long[INSTANCES];
    private Option<String> violation = Option.none();
    private boolean faulty = true;

    FollowerSwarm(long seed) {
        random = new Random(seed);
        time = new VirtualTime(0, random);
        store = new FakeStore(time, random);
    }

    /** An instance under test. */
    record Member(
            HeadReceiver receiver,
            LongSupplier generation,
            Supplier<ObjectSet> objects,
            Supplier<HeldConfiguration> held) {}

    /** Makes an instance under test. */
    interface MemberMaker {
        Member make(
                Store store,
                Timer timer,
                boolean watching,
                ObjectSetFunctions functions,
                Consumer<HeldConfiguration> announce);
    }

    /** Runs the swarm; gives the first guarantee that was broken. */
    Option<String> violation(MemberMaker maker) {
        store.faults(StoreFaults.MANY);
        for (int i = 0; i < INSTANCES; i++) {
            FakeProcess process = new FakeProcess(time);
            int self = i;
            members.add(
                    maker.make(
                            process.store(store),
                            process.timer(),
                            i < WATCHERS,
                            sets.functions(),
                            held -> announce(self, held)));
            time.schedule(random.nextInt(40_000), () -> process.pause(random.nextInt(10_000)));
        }
        for (int generation = 1; generation <= GENERATIONS; generation++) {
            int next = generation;
            time.schedule(generation * 5_000L, () -> publish(next));
        }
        long outage = random.nextInt(40_000);
        time.schedule(outage, () -> store.outage(true));
        time.schedule(outage + 5_000, () -> store.outage(false));
        gossip();
        time.advance(FAULTY_MS, this::check);
        faulty = false;
        store.faults(StoreFaults.NONE);
        time.advance(QUIET_MS, this::check);
        return violation.orElse(this::laggard);
    }

    private void publish(int generation) {
        ConfigurationParts parts =
                ConfigurationParts.split(FakeSets.withSlots(generation), sets.functions().writer());
        parts.texts().forEach((digest, text) -> store.put(ConfigurationKeys.part(digest), text));
        Head head = new Head(generation, "s", "operator", 0, Vector.empty(), parts.references());
        heads.add(head);
        store.put(ConfigurationKeys.HEAD, HeadWriter.write(head));
    }

    /** Instances hear heartbeats of others and, during the faults, of any head ever published. */
    private void gossip() {
        Member to = members.get(random.nextInt(INSTANCES));
        int from = random.nextInt(INSTANCES);
        members.get(from)
                .held()
                .get()
                .head()
                .forEach(head -> to.receiver().offer(head, peer(from)));
        if (faulty && !heads.isEmpty()) {
            to.receiver().offer(heads.get(random.nextInt(heads.size())), peer(from));
        }
        time.schedule(random.nextInt(400), this::gossip);
    }

    private void announce(int self, HeldConfiguration held) {
        for (Member member : members) {
            time.schedule(
                    random.nextInt(2_000),
                    () -> member.receiver().offer(held.head().get(), peer(self)));
        }
    }

    /** A peer that may answer late, never, with nothing or with damaged parts. */
    private PartSource peer(int index) {
        return digests -> {
            CompletableFuture<Either<String, Map<String, String>>> answer =
                    new CompletableFuture<>();
            Map<String, String> parts = members.get(index).held().get().select(digests);
            Either<String, Map<String, String>> reply =
                    switch (faulty ? random.nextInt(5) : 0) {
                        case 1 -> Either.left("link closed");
                        case 2 -> Either.right(parts.mapValues(text -> text + " "));
                        case 3 -> Either.right(parts.drop(1));
                        default -> Either.right(parts);
                    };
            if (!faulty || random.nextInt(5) > 0) {
                time.schedule(random.nextInt(1_500), () -> answer.complete(reply));
            }
            return answer;
        };
    }

    private void check() {
        for (int i = 0; i < INSTANCES; i++) {
            Member member = members.get(i);
            long generation = member.generation().getAsLong();
            if (generation < seen[i]) {
                report("instance " + i + " went from " + seen[i] + " back to " + generation);
            }
            if (FakeSets.slots(member.objects().get()) != generation) {
                report("instance " + i + " holds another set than that of " + generation);
            }
            Option<Head> served = member.held().get().head();
            if (!served.map(Head::generation).getOrElse(0L).equals(generation)) {
                report("instance " + i + " serves another generation than " + generation);
            }
            seen[i] = Math.max(seen[i], generation);
        }
    }

    private void report(String text) {
        violation = violation.orElse(Option.some("at " + time.now() + " ms: " + text));
    }

    private Option<String> laggard() {
        return Vector.range(0, INSTANCES)
                .find(i -> members.get(i).generation().getAsLong() != GENERATIONS)
                .map(i -> "instance " + i + " never reached the last generation");
    }
}
