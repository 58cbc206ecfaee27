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
 * Many callers use the same few keys through several processes that are paused and killed between
 * claim, call and finish, while the store misbehaves. The run is a function of its seed.
 */
final class ClaimContest {
    static final long START_MS = 1_800_000_000_000L;

    private static final int PROCESSES = 4;
    private static final int KEYS = 3;
    private static final int CALLERS = 40;
    private static final int LATE_CALLERS = 12;
    private static final int BUSY_MS = 30_000;
    private static final int LATE_MS = 30 * 3_600_000;

    private final Random random;
    private final VirtualTime time;
    private final FakeStore store;
    private final Claims.Maker maker;
    private final List<Member> members = new ArrayList<>();
    private final Map<String, List<RecordedOutcome>> executions = new HashMap<>();
    private final Map<String, Set<RecordedOutcome>> replays = new HashMap<>();
    private final Map<Class<?>, Integer> results = new HashMap<>();
    private int processCount;

    ClaimContest(long seed, Claims.Maker maker) {
        this.random = new Random(seed);
        this.time = new VirtualTime(START_MS, random);
        this.store = new FakeStore(time, random);
        this.maker = maker;
    }

    private record Member(FakeProcess process, Claims claims) {}

    /** Runs the contest; gives the first guarantee that was broken. */
    Option<String> violation() {
        store.faults(StoreFaults.MANY);
        for (int i = 0; i < PROCESSES; i++) {
            members.add(start());
        }
        for (int i = 0; i < CALLERS; i++) {
            time.schedule(random.nextInt(BUSY_MS), this::call);
        }
        for (int i = 0; i < LATE_CALLERS; i++) {
            time.schedule(random.nextInt(LATE_MS), this::call);
        }
        trouble();
        time.advance(LATE_MS);
        store.faults(StoreFaults.NONE);
        time.advance(BUSY_MS);
        return judge();
    }

    private void trouble() {
        long outage = random.nextInt(BUSY_MS);
        time.schedule(outage, () -> store.outage(true));
        time.schedule(outage + random.nextInt(3_000), () -> store.outage(false));
        long freeze = random.nextInt(BUSY_MS);
        time.schedule(freeze, () -> store.freeze(true));
        time.schedule(freeze + random.nextInt(3_000), () -> store.freeze(false));
    }

    private Member start() {
        FakeProcess process = new FakeProcess(time);
        Claims claims =
                maker.make(
                        process.store(store),
                        process.timer(),
                        time::now,
                        "instance-" + processCount++);
        return new Member(process, claims);
    }

    private void call() {
        int place = random.nextInt(PROCESSES);
        Member member = members.get(place);
        String key = START_MS + "-" + random.nextInt(KEYS);
        String digest = random.nextInt(10) == 0 ? "other" : "digest";
        member.process()
                .receive(member.claims().claim("organisation", key, digest))
                .thenAccept(result -> act(place, member, key, result));
    }

    private void act(int place, Member member, String key, ClaimResult result) {
        results.merge(result.getClass(), 1, Integer::sum);
        if (result instanceof ClaimResult.Replay replay) {
            replays.computeIfAbsent(key, k -> new HashSet<>()).add(replay.outcome());
        }
        if (!(result instanceof ClaimResult.Granted granted)) {
            return;
        }
        if (random.nextInt(6) == 0) {
            member.claims().release(granted.handle());
            return;
        }
        disturb(place, member);
        member.process()
                .timer()
                .schedule(random.nextInt(100), () -> execute(place, member, key, granted.handle()));
    }

    /** The endpoint does not check who sends the call, nor whether it ran before. */
    private void execute(int place, Member member, String key, ClaimHandle handle) {
        List<RecordedOutcome> executed = executions.computeIfAbsent(key, k -> new ArrayList<>());
        RecordedOutcome outcome =
                random.nextInt(4) == 0
                        ? RecordedOutcome.of(Outcome.FAILED, "", "ENDPOINT_ERROR")
                        : RecordedOutcome.of(
                                Outcome.ANSWERED, "answer " + handle.claim().attempt(), "");
        executed.add(outcome);
        disturb(place, member);
        member.process()
                .timer()
                .schedule(random.nextInt(5_000), () -> member.claims().finish(handle, outcome));
    }

    private void disturb(int place, Member member) {
        int chance = random.nextInt(10);
        if (chance < 2) {
            member.process().pause(random.nextInt(20_000));
        } else if (chance == 2) {
            member.process().kill();
            members.set(place, start());
        }
    }

    private Option<String> judge() {
        for (Map.Entry<String, List<RecordedOutcome>> entry : executions.entrySet()) {
            if (entry.getValue().size() > 1) {
                return Option.some(
                        "key " + entry.getKey() + " ran " + entry.getValue().size() + " times");
            }
        }
        for (Map.Entry<String, Set<RecordedOutcome>> entry : replays.entrySet()) {
            Set<RecordedOutcome> executed =
                    Set.copyOf(executions.getOrDefault(entry.getKey(), List.of()));
            if (!executed.equals(entry.getValue())) {
                return Option.some(
                        "key "
                                + entry.getKey()
                                + " replayed "
                                + entry.getValue()
                                + " after "
                                + executed);
            }
        }
        return Option.none();
    }

    /** Number of results of the kind, to show that a run was not empty. */
    int count(Class<? extends ClaimResult> kind) {
        return results.getOrDefault(kind, 0);
    }
}
