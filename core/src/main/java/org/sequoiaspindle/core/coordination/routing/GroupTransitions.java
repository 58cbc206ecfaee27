package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.sequoiaspindle.core.coordination.routing.QueueOrder.Match;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.RefusalCause;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Transitions of the state of a group under a routing policy. Pure functions of their arguments,
 * which include the time and the source of randomness.
 */
public final class GroupTransitions {

    private final RoutingPolicy policy;

    public GroupTransitions(RoutingPolicy policy) {
        this.policy = policy;
    }

    /** Submits a call, which is placed on an endpoint, queued or refused. */
    public TransitionResult submit(
            GroupState group, long id, CallProfile profile, long now, RandomGenerator random) {
        GroupState groupWithArrival =
                profile.sizeClass() == SizeClass.SHORT ? group.withLastShortCallAt(now) : group;
        PendingCall pendingCall =
                new PendingCall(id, profile, now, group.model().expectedMs(profile));
        if (!groupWithArrival.hasOpenEndpoint()) {
            return refuse(groupWithArrival, id, RefusalCause.NO_ENDPOINT);
        }
        Option<RefusalCause> refusal = policy.admission().refusal(groupWithArrival, profile, now);
        if (refusal.isDefined()) {
            return refuse(groupWithArrival, id, refusal.get());
        }
        return dispatch(TransitionResult.of(groupWithArrival.enqueue(pendingCall)), now, random);
    }

    /** Removes a call that has ended on an endpoint. A pending call may take the freed slot. */
    public TransitionResult complete(
            GroupState group,
            String endpointName,
            long callId,
            String stage,
            CallReport report,
            long now,
            RandomGenerator random) {
        Option<EndpointState> currentEndpoint = group.endpoint(endpointName);
        Option<RunningCall> call =
                currentEndpoint.flatMap(endpoint -> endpoint.running().get(callId));
        if (call.isEmpty()) {
            return TransitionResult.of(group);
        }
        GroupState groupWithFreeSlot = group.end(currentEndpoint.get(), call.get());
        EndpointState updatedEndpoint =
                policy.health()
                        .update(
                                groupWithFreeSlot,
                                groupWithFreeSlot.endpoint(endpointName).get(),
                                call.get(),
                                report,
                                now);
        GroupState next = groupWithFreeSlot.withEndpoint(updatedEndpoint);
        if (report.kind() == CallReport.ResultKind.COMPLETED) {
            next = next.withModel(next.model().learn(stage, report.size(), report.serviceMs()));
        }
        return dispatch(TransitionResult.of(next), now, random);
    }

    /** Withdraws a pending call; does nothing if the call is not pending. */
    public TransitionResult withdraw(GroupState group, long id) {
        return pendingCalls(group, pendingCall -> pendingCall.id() == id)
                .headOption()
                .map(pendingCall -> refuse(group.dequeue(pendingCall), id, RefusalCause.WITHDRAWN))
                .getOrElse(() -> TransitionResult.of(group));
    }

    /**
     * Refuses the pending calls that can no longer meet their deadline and places other pending
     * calls if the passage of time has made an endpoint usable.
     */
    public TransitionResult advance(GroupState group, long now, RandomGenerator random) {
        TransitionResult result = TransitionResult.of(group);
        for (PendingCall expiredCall :
                pendingCalls(group, pendingCall -> pendingCall.latestStart() < now)) {
            RoutingDecision refusal = new RoutingDecision.Refused(RefusalCause.NO_TIME);
            result =
                    result.withDecision(
                            result.state().dequeue(expiredCall), expiredCall.id(), refusal);
        }
        return dispatch(result, now, random);
    }

    /**
     * Replaces the endpoints of the group. Endpoints that remain keep their health, slowness and
     * adapted limit.
     */
    public TransitionResult reconfigure(
            GroupState group,
            Vector<ConfiguredEndpoint> endpoints,
            long now,
            RandomGenerator random) {
        TreeMap<String, EndpointState> next = TreeMap.empty();
        for (ConfiguredEndpoint configuredEndpoint : endpoints) {
            EndpointState state =
                    group.endpoint(configuredEndpoint.endpoint().name())
                            .map(
                                    currentEndpoint ->
                                            currentEndpoint.withConfiguration(
                                                    configuredEndpoint.endpoint(),
                                                    configuredEndpoint.leaving(),
                                                    configuredEndpoint.fairLimit()))
                            .getOrElse(
                                    () ->
                                            EndpointState.initial(
                                                    configuredEndpoint.endpoint(),
                                                    configuredEndpoint.leaving(),
                                                    configuredEndpoint.fairLimit()));
            next = next.put(state.name(), state);
        }
        // A removed endpoint that still runs calls is kept as leaving, so that the running calls
        // are counted.
        for (EndpointState currentEndpoint : group.endpoints().values()) {
            if (!next.containsKey(currentEndpoint.name()) && currentEndpoint.inFlight() > 0) {
                next =
                        next.put(
                                currentEndpoint.name(),
                                currentEndpoint.withConfiguration(
                                        currentEndpoint.endpoint(),
                                        true,
                                        currentEndpoint.fairLimit()));
            }
        }
        return dispatch(
                refusePendingWithoutOpenEndpoint(TransitionResult.of(group.withEndpoints(next))),
                now,
                random);
    }

    private TransitionResult refusePendingWithoutOpenEndpoint(TransitionResult result) {
        if (result.state().hasOpenEndpoint()) {
            return result;
        }
        TransitionResult nextResult = result;
        for (PendingCall pendingCall : pendingCalls(result.state(), any -> true)) {
            RoutingDecision refusal = new RoutingDecision.Refused(RefusalCause.NO_ENDPOINT);
            nextResult =
                    nextResult.withDecision(
                            nextResult.state().dequeue(pendingCall), pendingCall.id(), refusal);
        }
        return nextResult;
    }

    private TransitionResult dispatch(TransitionResult start, long now, RandomGenerator random) {
        TransitionResult result = start;
        while (result.state().pendingCount() > 0) {
            GroupState group = result.state();
            Option<Match> match =
                    policy.order()
                            .next(
                                    group,
                                    pendingCall ->
                                            policy.chooser()
                                                    .choose(
                                                            group,
                                                            pendingCall.profile(),
                                                            now,
                                                            random));
            if (match.isEmpty()) {
                return result;
            }
            result = place(result, match.get().pending(), match.get().endpoint(), now);
        }
        return result;
    }

    private static TransitionResult place(
            TransitionResult result, PendingCall pendingCall, EndpointState endpoint, long now) {
        RunningCall call =
                new RunningCall(
                        pendingCall.id(),
                        pendingCall.profile().sizeClass(),
                        now,
                        pendingCall.expectedMs());
        GroupState next =
                result.state().dequeue(pendingCall).charge(pendingCall).start(endpoint, call);
        return result.withDecision(
                next,
                pendingCall.id(),
                new RoutingDecision.Assigned(endpoint.name(), endpoint.endpoint().address()));
    }

    private static TransitionResult refuse(GroupState group, long id, RefusalCause cause) {
        return TransitionResult.of(group)
                .withDecision(group, id, new RoutingDecision.Refused(cause));
    }

    private static Vector<PendingCall> pendingCalls(
            GroupState group, Predicate<PendingCall> condition) {
        return group.queues()
                .values()
                .flatMap(queue -> queue.shortCalls().toVector().appendAll(queue.longCalls()))
                .filter(condition)
                .toVector();
    }
}
