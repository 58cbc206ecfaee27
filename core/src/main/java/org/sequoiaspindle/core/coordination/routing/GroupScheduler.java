package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Vector;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;

/**
 * Holds the state of one endpoint group and replaces it by compare-and-set (read-copy-update). Safe
 * for use by many threads; nothing blocks. A decision that loses the race is computed anew on the
 * newer state.
 */
public final class GroupScheduler {

    private final GroupTransitions transitions;
    private final MillisClock clock;
    private final Timer timer;
    private final AtomicReference<GroupState> state = new AtomicReference<>(GroupState.empty());
    private final AtomicLong lastTicket = new AtomicLong();
    private final ConcurrentHashMap<Long, CompletableFuture<Placement>> waiting =
            new ConcurrentHashMap<>();

    public GroupScheduler(Policy policy, MillisClock clock, Timer timer) {
        this.transitions = new GroupTransitions(policy);
        this.clock = clock;
        this.timer = timer;
    }

    /** State at this moment. */
    public GroupState state() {
        return state.get();
    }

    /** Asks for an endpoint. The decision comes at the latest when the deadline cannot be met. */
    public Submission submit(CallProfile profile) {
        long id = lastTicket.incrementAndGet();
        CompletableFuture<Placement> decision = new CompletableFuture<>();
        waiting.put(id, decision);
        apply(
                group ->
                        transitions.submit(
                                group, id, profile, clock.now(), ThreadLocalRandom.current()));
        if (!decision.isDone()) {
            scheduleExpiry(profile, decision);
        }
        return new Submission(id, decision, () -> apply(group -> transitions.withdraw(group, id)));
    }

    /** Reports the end of a call that was assigned. */
    public void complete(String endpoint, long ticket, String stage, CallReport report) {
        apply(
                group ->
                        transitions.complete(
                                group,
                                endpoint,
                                ticket,
                                stage,
                                report,
                                clock.now(),
                                ThreadLocalRandom.current()));
    }

    /** Replaces the endpoints of the group. */
    public void reconfigure(Vector<OpenEndpoint> endpoints) {
        apply(
                group ->
                        transitions.reconfigure(
                                group, endpoints, clock.now(), ThreadLocalRandom.current()));
    }

    /** Announces work that will reach this group later, negative once it has or will not. */
    public void commit(long millis) {
        state.updateAndGet(group -> group.withCommittedMs(group.committedMs() + millis));
    }

    /** Re-examines waiting tickets, for what changes by time alone, such as ended ejections. */
    public void advance() {
        if (!waiting.isEmpty()) {
            apply(group -> transitions.advance(group, clock.now(), ThreadLocalRandom.current()));
        }
    }

    private void scheduleExpiry(CallProfile profile, CompletableFuture<Placement> decision) {
        long expected = state.get().model().expectedMs(profile);
        long latestStart = profile.deadline().atMillis() - profile.laterMs() - expected;
        Runnable cancel = timer.schedule(latestStart - clock.now() + 1, this::advance);
        decision.whenComplete((placement, failure) -> cancel.run());
    }

    private void apply(Function<GroupState, Step> transition) {
        Step step;
        GroupState before;
        do {
            before = state.get();
            step = transition.apply(before);
        } while (!state.compareAndSet(before, step.state()));
        for (Grant grant : step.grants()) {
            CompletableFuture<Placement> decision = waiting.remove(grant.ticket());
            if (decision == null) {
                throw new IllegalStateException("ticket decided twice: " + grant.ticket());
            }
            decision.complete(grant.placement());
        }
    }

    /**
     * A ticket on its way.
     *
     * @param ticket number of the ticket
     * @param decision completes once with what becomes of it
     * @param withdrawal gives the ticket up if it still waits
     */
    public record Submission(
            long ticket, CompletionStage<Placement> decision, Runnable withdrawal) {}
}
