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
 * Holds the state of one endpoint group and replaces it by compare-and-set (read-copy-update).
 * Thread-safe and non-blocking. A transition that loses the race is computed again from the newer
 * state.
 */
public final class GroupScheduler {

    private final GroupTransitions transitions;
    private final MillisClock clock;
    private final Timer timer;
    private final AtomicReference<GroupState> state = new AtomicReference<>(GroupState.empty());
    private final AtomicLong lastCallId = new AtomicLong();
    private final ConcurrentHashMap<Long, CompletableFuture<RoutingDecision>> pendingDecisions =
            new ConcurrentHashMap<>();

    public GroupScheduler(RoutingPolicy policy, MillisClock clock, Timer timer) {
        this.transitions = new GroupTransitions(policy);
        this.clock = clock;
        this.timer = timer;
    }

    /** Returns the current state. */
    public GroupState state() {
        return state.get();
    }

    /**
     * Requests an endpoint for a call. The decision is made at the latest when the deadline can no
     * longer be met.
     */
    public SubmittedCall submit(CallProfile profile) {
        long id = lastCallId.incrementAndGet();
        CompletableFuture<RoutingDecision> decision = new CompletableFuture<>();
        pendingDecisions.put(id, decision);
        apply(
                group ->
                        transitions.submit(
                                group, id, profile, clock.now(), ThreadLocalRandom.current()));
        if (!decision.isDone()) {
            scheduleExpiry(profile, decision);
        }
        return new SubmittedCall(
                id, decision, () -> apply(group -> transitions.withdraw(group, id)));
    }

    /** Reports the end of a call that was assigned to an endpoint. */
    public void complete(String endpoint, long callId, String stage, CallReport report) {
        apply(
                group ->
                        transitions.complete(
                                group,
                                endpoint,
                                callId,
                                stage,
                                report,
                                clock.now(),
                                ThreadLocalRandom.current()));
    }

    /** Replaces the endpoints of the group. */
    public void reconfigure(Vector<ConfiguredEndpoint> endpoints) {
        apply(
                group ->
                        transitions.reconfigure(
                                group, endpoints, clock.now(), ThreadLocalRandom.current()));
    }

    /**
     * Adds to the predicted work of admitted requests that will reach this group later. A negative
     * amount removes the work once it has arrived or is cancelled.
     */
    public void addCommittedWork(long millis) {
        state.updateAndGet(group -> group.withCommittedMs(group.committedMs() + millis));
    }

    /**
     * Reconsiders the pending calls. Must be called regularly, because some conditions, such as the
     * end of an ejection, change with time only.
     */
    public void advance() {
        if (!pendingDecisions.isEmpty()) {
            apply(group -> transitions.advance(group, clock.now(), ThreadLocalRandom.current()));
        }
    }

    private void scheduleExpiry(CallProfile profile, CompletableFuture<RoutingDecision> decision) {
        long expectedMs = state.get().model().expectedMs(profile);
        long latestStart = profile.deadline().atMillis() - profile.laterStagesMs() - expectedMs;
        Runnable cancel = timer.schedule(latestStart - clock.now() + 1, this::advance);
        decision.whenComplete((ignored, failure) -> cancel.run());
    }

    private void apply(Function<GroupState, TransitionResult> transition) {
        TransitionResult result;
        GroupState stateBefore;
        do {
            stateBefore = state.get();
            result = transition.apply(stateBefore);
        } while (!state.compareAndSet(stateBefore, result.state()));
        for (CallDecision callDecision : result.decisions()) {
            CompletableFuture<RoutingDecision> decision =
                    pendingDecisions.remove(callDecision.callId());
            if (decision == null) {
                throw new IllegalStateException("call decided twice: " + callDecision.callId());
            }
            decision.complete(callDecision.decision());
        }
    }

    /**
     * A submitted call.
     *
     * @param callId identifier of the call within the group
     * @param decision completes once with the assigned endpoint or the refusal
     * @param withdrawal withdraws the call if it is still pending
     */
    public record SubmittedCall(
            long callId, CompletionStage<RoutingDecision> decision, Runnable withdrawal) {}
}
