package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.HashSet;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.GroupScheduler;
import org.sequoiaspindle.core.coordination.routing.GroupScheduler.SubmittedCall;
import org.sequoiaspindle.core.coordination.routing.GroupSchedulers;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.Assigned;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.Refused;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.state.Deadline;
import org.sequoiaspindle.core.state.SnapshotHolder;
import org.sequoiaspindle.core.state.Stage;

/**
 * Runs stages that instances of other data centres have forwarded, on endpoints of this data
 * centre. Makes one attempt for each call; the forwarding instance decides on retries. Thread-safe.
 */
public final class LocalEndpointCaller implements EndpointCaller {

    private final SnapshotHolder snapshots;
    private final GroupSchedulers groups;
    private final EndpointCaller endpoints;
    private final MillisClock clock;

    public LocalEndpointCaller(
            SnapshotHolder snapshots,
            GroupSchedulers groups,
            EndpointCaller endpoints,
            MillisClock clock) {
        this.snapshots = snapshots;
        this.groups = groups;
        this.endpoints = endpoints;
        this.clock = clock;
    }

    @Override
    public EndpointExchange call(EndpointCall call, TokenSink sink) {
        Option<Stage> stage = snapshots.current().stage(call.stage());
        if (stage.isEmpty()) {
            CallResult refused =
                    new CallResult.Refused("no stage named " + call.stage(), Option.none());
            return new EndpointExchange(CompletableFuture.completedStage(refused), () -> {});
        }
        GroupScheduler scheduler = groups.scheduler(call.endpoint());
        CallProfile profile = profile(call, stage.get());
        SubmittedCall submittedCall = scheduler.submit(profile);
        AtomicReference<Runnable> cancellation = new AtomicReference<>(submittedCall.withdrawal());
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        Invariants.reportFailure(
                submittedCall
                        .decision()
                        .thenAccept(
                                decision ->
                                        onDecision(
                                                decision,
                                                new PendingCall(
                                                        call,
                                                        sink,
                                                        scheduler,
                                                        submittedCall.callId(),
                                                        profile.size(),
                                                        cancellation,
                                                        result))));
        return new EndpointExchange(result, () -> cancellation.get().run());
    }

    /** A forwarded call that waits for an endpoint or runs on one. */
    private record PendingCall(
            EndpointCall call,
            TokenSink sink,
            GroupScheduler group,
            long callId,
            long size,
            AtomicReference<Runnable> cancellation,
            CompletableFuture<CallResult> result) {}

    private void onDecision(RoutingDecision decision, PendingCall pendingCall) {
        if (decision instanceof Refused refused) {
            pendingCall
                    .result()
                    .complete(new CallResult.Refused(refused.cause().name(), Option.none()));
            return;
        }
        Assigned assignment = (Assigned) decision;
        long sentAt = clock.now();
        EndpointExchange exchange =
                endpoints.call(
                        pendingCall.call().at(assignment.endpoint(), assignment.address()),
                        pendingCall.sink());
        pendingCall.cancellation().set(exchange::cancel);
        Invariants.reportFailure(
                exchange.result()
                        .thenAccept(
                                result -> {
                                    pendingCall
                                            .group()
                                            .complete(
                                                    assignment.endpoint(),
                                                    pendingCall.callId(),
                                                    pendingCall.call().stage(),
                                                    CallResults.toCallReport(
                                                            result,
                                                            false,
                                                            clock.now() - sentAt,
                                                            pendingCall.size()));
                                    pendingCall.result().complete(result);
                                }));
    }

    private CallProfile profile(EndpointCall call, Stage stage) {
        long size = CallProfileFactory.size(stage, call.input(), call.maxTokens());
        return new CallProfile(
                call.organisation(),
                snapshots
                        .current()
                        .organisation(call.organisation())
                        .map(organisation -> organisation.weight())
                        .getOrElse(1),
                call.stage(),
                stage.idempotent(),
                call.sizeClass(),
                size,
                stage.expectedMs(),
                0,
                0,
                Deadline.after(clock.now(), call.remainingMillis()),
                CallProfileFactory.affinityKey(call.input()),
                HashSet.empty());
    }
}
