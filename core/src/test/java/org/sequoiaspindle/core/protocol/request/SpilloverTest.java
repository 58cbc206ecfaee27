package org.sequoiaspindle.core.protocol.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.control.Option;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.coordination.policy.RoutingPolicies;
import org.sequoiaspindle.core.coordination.retry.RetryBudget;
import org.sequoiaspindle.core.coordination.retry.RetryRule;
import org.sequoiaspindle.core.coordination.routing.GroupSchedulers;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.RefusalCause;
import org.sequoiaspindle.core.coordination.routing.SpilloverState;
import org.sequoiaspindle.core.fake.FaultyEndpoints;
import org.sequoiaspindle.core.fake.SampleObjectSet;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.state.Outcome;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.core.state.SnapshotHolder;

/** Tests requests that have a stage for which the data centre has no endpoint. */
final class SpilloverTest {

    private static final String PEER = "10.0.0.9:1";

    private final VirtualTime time = new VirtualTime(1_000, new Random(1));
    private final FaultyEndpoints endpoints = new FaultyEndpoints(time, 1, 0);
    private final SnapshotHolder snapshots = new SnapshotHolder();

    @Test
    void stageWithoutLocalEndpointRunsInAnotherDataCentre() {
        Answer answer = run(remoteDataCentre(), "chat");
        String retrieved = FaultyEndpoints.answerTo("retrieve", "question");
        assertEquals(Outcome.ANSWERED, answer.outcome());
        assertEquals(FaultyEndpoints.answerTo("generate", retrieved), answer.output());
    }

    @Test
    void stageOfAnEmptyGroupRunsInItsOverflowGroup() {
        snapshots.adopt(
                Snapshot.of(2, SampleObjectSet.withOverflow(SampleObjectSet.withEndpoints(2, 4))));
        GroupSchedulers local =
                new GroupSchedulers(
                        SampleObjectSet.DATA_CENTRE, RoutingPolicies.chosen(), time, time);
        local.reconfigure(snapshots.current(), HashSet.empty(), 1);
        Answer answer = run(local, Spillover.NONE, "chat");
        assertEquals(Outcome.ANSWERED, answer.outcome());
        assertEquals("spares-0", answer.attempts().last().endpoint());
    }

    @Test
    void forwardedPaymentWithUnknownResultIsNotSentAgain() {
        int[] callCount = {0};
        EndpointCaller brokenForwarder =
                (call, sink) -> {
                    callCount[0]++;
                    CallResult unknownResult = new CallResult.Unknown("the link broke");
                    return new EndpointExchange(
                            CompletableFuture.completedFuture(unknownResult), () -> {});
                };
        assertEquals(Outcome.UNKNOWN, run(brokenForwarder, "payment").outcome());
        assertEquals(1, callCount[0]);
    }

    @Test
    void spillStartsAtTheSecondRefusalForLackOfTimeAndEndsFiveSecondsAfterTheLast() {
        SpilloverState once = SpilloverState.none().afterRefusal(RefusalCause.NO_TIME, 10_000);
        SpilloverState twice = once.afterRefusal(RefusalCause.NO_TIME, 10_100);
        assertTrue(!once.isActive(10_000) && twice.isActive(10_100));
        assertTrue(!twice.isActive(15_200));
        assertTrue(SpilloverState.none().afterRefusal(RefusalCause.NO_ENDPOINT, 0).isActive(0));
    }

    private Answer run(EndpointCaller forwarder, String pipeline) {
        snapshots.adopt(Snapshot.of(1, SampleObjectSet.withEndpoints(2, 4)));
        Spillover spillover = new Spillover((group, cause) -> Option.of(PEER), forwarder);
        return run(groups("elsewhere"), spillover, pipeline);
    }

    private Answer run(GroupSchedulers groups, Spillover spillover, String pipeline) {
        RequestDependencies dependencies =
                new RequestDependencies(
                        groups,
                        endpoints,
                        spillover,
                        RetryRule.SAFE,
                        HedgeRule.NEVER,
                        new RetryBudget(0.1),
                        time,
                        time,
                        SpanTracer.NONE,
                        EventLog.NONE,
                        () -> new RequestId("r1"),
                        record -> {});
        CallerRequest request =
                new CallerRequest(
                        "county",
                        SampleObjectSet.secret("county"),
                        pipeline,
                        "question",
                        FaultyEndpoints.TOKENS,
                        Option.none(),
                        Option.none(),
                        "");
        CompletableFuture<Answer> answer =
                new RequestRunner(snapshots, dependencies, IdempotencyGuard.NONE, () -> 1.0)
                        .handle(request, token -> true)
                        .toCompletableFuture();
        time.advance(10_000);
        return answer.getNow(null);
    }

    /** The other data centre, called directly instead of over a peer link. */
    private EndpointCaller remoteDataCentre() {
        return new LocalEndpointCaller(
                snapshots, groups(SampleObjectSet.DATA_CENTRE), endpoints, time);
    }

    private GroupSchedulers groups(String dataCentre) {
        GroupSchedulers groups =
                new GroupSchedulers(dataCentre, RoutingPolicies.chosen(), time, time);
        groups.reconfigure(Snapshot.of(1, SampleObjectSet.withEndpoints(2, 4)), HashSet.empty(), 1);
        return groups;
    }
}
