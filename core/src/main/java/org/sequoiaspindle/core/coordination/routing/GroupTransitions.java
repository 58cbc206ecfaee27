package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.sequoiaspindle.core.coordination.routing.Placement.RefusalCause;
import org.sequoiaspindle.core.coordination.routing.QueueOrder.Match;
import org.sequoiaspindle.core.state.SizeClass;

/** Next states of a group under a policy. Pure functions: the state, time and chance come in. */
public final class GroupTransitions {

    private final Policy policy;

    public GroupTransitions(Policy policy) {
        this.policy = policy;
    }

    /** A call asks for an endpoint: it is placed, queued or refused. */
    public Step submit(
            GroupState group, long id, CallProfile profile, long now, RandomGenerator random) {
        GroupState seen =
                profile.sizeClass() == SizeClass.SHORT ? group.withLastShortAt(now) : group;
        Ticket ticket = new Ticket(id, profile, now, group.model().expectedMs(profile));
        if (!seen.isOpen()) {
            return refuse(seen, id, RefusalCause.NO_ENDPOINT);
        }
        Option<RefusalCause> refusal = policy.admission().refusal(seen, profile, now);
        if (refusal.isDefined()) {
            return refuse(seen, id, refusal.get());
        }
        return dispatch(Step.of(seen.enqueue(ticket)), now, random);
    }

    /** A call on an endpoint has ended; its slot may go to a waiting ticket. */
    public Step complete(
            GroupState group,
            String endpointName,
            long ticket,
            String stage,
            CallReport report,
            long now,
            RandomGenerator random) {
        Option<EndpointState> known = group.endpoint(endpointName);
        Option<RunningCall> call = known.flatMap(endpoint -> endpoint.running().get(ticket));
        if (call.isEmpty()) {
            return Step.of(group);
        }
        GroupState freed = group.end(known.get(), call.get());
        EndpointState learned =
                policy.health()
                        .after(freed, freed.endpoint(endpointName).get(), call.get(), report, now);
        GroupState next = freed.withEndpoint(learned);
        if (report.kind() == CallReport.Kind.COMPLETED) {
            next = next.withModel(next.model().learn(stage, report.size(), report.serviceMs()));
        }
        return dispatch(Step.of(next), now, random);
    }

    /** A waiting ticket is given up by its caller; a ticket that is not waiting is left alone. */
    public Step withdraw(GroupState group, long id) {
        return waiting(group, ticket -> ticket.id() == id)
                .headOption()
                .map(ticket -> refuse(group.dequeue(ticket), id, RefusalCause.WITHDRAWN))
                .getOrElse(() -> Step.of(group));
    }

    /** Time has passed: drops tickets that can no longer meet their deadline, places others. */
    public Step advance(GroupState group, long now, RandomGenerator random) {
        Step step = Step.of(group);
        for (Ticket late : waiting(group, ticket -> ticket.latestStart() < now)) {
            Placement refused = new Placement.Refused(RefusalCause.NO_TIME);
            step = step.grant(step.state().dequeue(late), late.id(), refused);
        }
        return dispatch(step, now, random);
    }

    /** The endpoints of the group have changed; what was learned of the remaining ones stays. */
    public Step reconfigure(
            GroupState group, Vector<OpenEndpoint> endpoints, long now, RandomGenerator random) {
        TreeMap<String, EndpointState> next = TreeMap.empty();
        for (OpenEndpoint configured : endpoints) {
            EndpointState state =
                    group.endpoint(configured.endpoint().name())
                            .map(
                                    known ->
                                            known.reconfigured(
                                                    configured.endpoint(),
                                                    configured.leaving(),
                                                    configured.fairLimit()))
                            .getOrElse(
                                    () ->
                                            EndpointState.initial(
                                                    configured.endpoint(),
                                                    configured.leaving(),
                                                    configured.fairLimit()));
            next = next.put(state.name(), state);
        }
        // An endpoint that still runs calls is kept, closed to new work, so that they are counted.
        for (EndpointState known : group.endpoints().values()) {
            if (!next.containsKey(known.name()) && known.inFlight() > 0) {
                next =
                        next.put(
                                known.name(),
                                known.reconfigured(known.endpoint(), true, known.fairLimit()));
            }
        }
        return dispatch(refuseIfClosed(Step.of(group.withEndpoints(next))), now, random);
    }

    private Step refuseIfClosed(Step step) {
        if (step.state().isOpen()) {
            return step;
        }
        Step refused = step;
        for (Ticket ticket : waiting(step.state(), any -> true)) {
            Placement none = new Placement.Refused(RefusalCause.NO_ENDPOINT);
            refused = refused.grant(refused.state().dequeue(ticket), ticket.id(), none);
        }
        return refused;
    }

    private Step dispatch(Step start, long now, RandomGenerator random) {
        Step step = start;
        while (step.state().waiting() > 0) {
            GroupState group = step.state();
            Option<Match> match =
                    policy.order()
                            .next(
                                    group,
                                    ticket ->
                                            policy.chooser()
                                                    .choose(group, ticket.profile(), now, random));
            if (match.isEmpty()) {
                return step;
            }
            step = place(step, match.get().ticket(), match.get().endpoint(), now);
        }
        return step;
    }

    private static Step place(Step step, Ticket ticket, EndpointState endpoint, long now) {
        RunningCall call =
                new RunningCall(
                        ticket.id(), ticket.profile().sizeClass(), now, ticket.expectedMs());
        GroupState next = step.state().dequeue(ticket).charge(ticket).start(endpoint, call);
        return step.grant(
                next,
                ticket.id(),
                new Placement.Assigned(endpoint.name(), endpoint.endpoint().address()));
    }

    private static Step refuse(GroupState group, long id, RefusalCause cause) {
        return Step.of(group).grant(group, id, new Placement.Refused(cause));
    }

    private static Vector<Ticket> waiting(GroupState group, Predicate<Ticket> condition) {
        return group.queues()
                .values()
                .flatMap(queue -> queue.shortTickets().toVector().appendAll(queue.longTickets()))
                .filter(condition)
                .toVector();
    }
}
