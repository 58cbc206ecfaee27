package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.HashMap;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.retry.RetryRule.Attempt;
import org.sequoiaspindle.core.coordination.retry.RetryRule.RetryDecision;
import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.CallReport;
import org.sequoiaspindle.core.coordination.routing.GroupScheduler;
import org.sequoiaspindle.core.coordination.routing.GroupScheduler.Submission;
import org.sequoiaspindle.core.coordination.routing.Placement;
import org.sequoiaspindle.core.coordination.routing.Placement.Assigned;
import org.sequoiaspindle.core.coordination.routing.Placement.RefusalCause;
import org.sequoiaspindle.core.coordination.routing.Placement.Refused;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.state.Outcome;

/**
 * Runs one stage of one request: one attempt, then retries or one hedge as the rules allow, until
 * an attempt succeeds, the rules give up or the deadline passes. The first attempt that passes on a
 * token or completes wins; the others are cancelled. Events may come on any thread.
 */
final class StageRun {

    /** Stands for calls that take no slot of this data centre. */
    private static final long NO_TICKET = 0;

    private final RequestServices services;
    private final StageCall stage;
    private final TokenSink sink;
    private final GroupScheduler group;
    private final AtomicReference<StageRunState> state =
            new AtomicReference<>(StageRunState.initial());
    private final ConcurrentHashMap<Integer, Runnable> cancellations = new ConcurrentHashMap<>();
    private final CompletableFuture<StageOutcome> done = new CompletableFuture<>();

    StageRun(RequestServices services, StageCall stage, TokenSink sink) {
        this.services = services;
        this.stage = stage;
        this.sink = sink;
        this.group = services.groups().group(stage.planned().group());
    }

    /** Starts the stage; the outcome comes at the latest when the deadline passes. */
    CompletionStage<StageOutcome> start() {
        services.budget().firstAttempt();
        long remaining = stage.plan().deadline().remaining(now());
        Runnable stopTimer = services.timer().schedule(remaining, this::deadlinePassed);
        done.whenComplete(
                (outcome, failure) -> {
                    stopTimer.run();
                    cancellations.values().forEach(Runnable::run);
                });
        startAttempt(stage.profile());
        return done;
    }

    private void startAttempt(CallProfile profile) {
        int number = state.updateAndGet(StageRunState::startAttempt).started();
        long submittedAt = now();
        Submission submission = group.submit(profile);
        cancellable(number, submission.withdrawal());
        Invariants.watch(
                submission
                        .decision()
                        .thenAccept(
                                placement ->
                                        placed(
                                                number,
                                                profile,
                                                submission.ticket(),
                                                submittedAt,
                                                placement)));
    }

    private void placed(
            int number, CallProfile profile, long ticket, long submittedAt, Placement placement) {
        if (placement instanceof Refused refused) {
            refused(number, profile, submittedAt, refused.cause());
            return;
        }
        Assigned assigned = (Assigned) placement;
        if (!startCall(number)) {
            release(assigned, ticket);
            return;
        }
        send(
                services.endpoints(),
                new SentAttempt(stage, number, profile, ticket, assigned, submittedAt, now()));
    }

    /** Has the stage run in another data centre if possible, else ends the attempt. */
    private void refused(int number, CallProfile profile, long submittedAt, RefusalCause cause) {
        Option<String> peer =
                cause == RefusalCause.WITHDRAWN
                        ? Option.none()
                        : services.spillover().targets().target(stage.planned().group(), cause);
        if (peer.isDefined() && startCall(number)) {
            Assigned remote = new Assigned(stage.planned().group(), peer.get());
            SentAttempt sent =
                    new SentAttempt(stage, number, profile, NO_TICKET, remote, submittedAt, now());
            send(services.spillover().forwarder(), sent);
            return;
        }
        cancellations.remove(number);
        if (!state.updateAndGet(held -> held.endAttempt(number)).anyActive()) {
            finish(StageFailures.refused(cause, state.get(), stage.idempotent()));
        }
    }

    private boolean startCall(int number) {
        return state.updateAndGet(held -> held.startCall(number)).calls().contains(number);
    }

    private void release(Assigned assigned, long ticket) {
        CallReport unused = new CallReport(CallReport.Kind.CANCELLED, 0, 1, Option.none());
        group.complete(assigned.endpoint(), ticket, stage.name(), unused);
    }

    private void send(EndpointCaller caller, SentAttempt sent) {
        HopTracer.Hop hop =
                services.tracer()
                        .start(
                                "stage " + stage.name(),
                                stage.traceParent(),
                                HashMap.of(
                                        "attempt",
                                        sent.number(),
                                        "endpoint",
                                        sent.assigned().endpoint()));
        StreamAssembler.Progress progress = state.get().progress();
        EndpointCall call = sent.call(progress, hop.traceParent());
        StreamAssembler stream =
                new StreamAssembler(state.get().progress(), token -> passOn(sent.number(), token));
        EndpointExchange exchange = caller.call(call, stream);
        cancellable(sent.number(), exchange::cancel);
        scheduleHedge(sent);
        Invariants.watch(
                exchange.result().thenAccept(result -> ended(sent, call, stream, hop, result)));
    }

    private void scheduleHedge(SentAttempt sent) {
        if (sent.number() > 1) {
            return;
        }
        var model = group.state().model();
        Option<Long> delay =
                services.hedgeRule()
                        .delayMs(
                                stage,
                                model.expectedMs(sent.profile()),
                                model.deviationMs(sent.profile()));
        delay.forEach(
                millis -> {
                    Runnable stop = services.timer().schedule(millis, () -> hedge(sent));
                    done.whenComplete((outcome, failure) -> stop.run());
                });
    }

    private void hedge(SentAttempt slow) {
        boolean stillSilent = state.get().isOnlyAndSilent(slow.number());
        if (!done.isDone() && stillSilent && services.budget().tryExtra()) {
            startAttempt(slow.profile().avoiding(slow.assigned().endpoint()));
        }
    }

    private boolean passOn(int number, Token token) {
        StageRunState held = state.updateAndGet(before -> before.claimStream(number));
        if (held.owner() != number || done.isDone()) {
            return false;
        }
        cancelOthers(number);
        if (sink.accept(token)) {
            return true;
        }
        finish(StageFailures.callerGone(state.get()));
        return false;
    }

    private void ended(
            SentAttempt sent,
            EndpointCall call,
            StreamAssembler stream,
            HopTracer.Hop hop,
            CallResult raw) {
        CallResult result = AttemptEnd.verified(call, raw, stream);
        if (result != raw) {
            services.events()
                    .record(
                            LogEvent.LATE_ANSWER_DROPPED,
                            HashMap.of(
                                    "endpoint",
                                    call.endpoint(),
                                    "reason",
                                    AttemptEnd.detail(result)));
        }
        boolean cancelled = done.isDone() || state.get().lostTo(sent.number());
        long endedAt = now();
        cancellations.remove(sent.number());
        group.complete(
                sent.assigned().endpoint(),
                sent.ticket(),
                stage.name(),
                AttemptEnd.report(result, cancelled, endedAt - sent.sentAt(), sent.size(stream)));
        hop.end(result.getClass().getSimpleName());
        StageReport report = sent.report(result, endedAt);
        StageRunState after =
                state.updateAndGet(
                        held -> held.endCall(sent.number(), report, result, stream.progress()));
        if (result instanceof CallResult.Completed completed) {
            succeeded(sent.number(), completed, stream);
        } else if (!done.isDone() && !after.anyActive()) {
            retryOrGiveUp(sent, result, after);
        }
    }

    private void succeeded(int number, CallResult.Completed completed, StreamAssembler stream) {
        StageRunState held = state.updateAndGet(before -> before.claimStream(number));
        if (held.owner() == number) {
            String output = stage.streams() ? stream.progress().text() : completed.output();
            finish(
                    new StageOutcome(
                            Outcome.ANSWERED, Reason.NONE, "", output, held.reports(), true));
        }
    }

    private void retryOrGiveUp(SentAttempt sent, CallResult result, StageRunState held) {
        Attempt attempt =
                new Attempt(
                        stage.idempotent(),
                        result.provablyNotRun() && !held.mayHaveRun(),
                        !(result instanceof CallResult.NotSent),
                        sent.number());
        RetryDecision decision = services.retryRule().decide(attempt);
        boolean again =
                decision == RetryDecision.RETRY
                        || decision == RetryDecision.RETRY_WITHIN_BUDGET
                                && services.budget().tryExtra();
        if (again) {
            startAttempt(sent.profile().avoiding(sent.assigned().endpoint()));
            return;
        }
        finish(StageFailures.of(result, held, stage.idempotent()));
    }

    private void deadlinePassed() {
        StageRunState closed = state.updateAndGet(StageRunState::close);
        finish(StageFailures.deadline(closed, stage.idempotent()));
    }

    private void finish(StageOutcome outcome) {
        done.complete(outcome);
    }

    private void cancelOthers(int winner) {
        cancellations.forEach(
                (number, cancellation) -> {
                    if (number != winner) {
                        cancellation.run();
                    }
                });
    }

    private void cancellable(int number, Runnable cancellation) {
        cancellations.put(number, cancellation);
        if (done.isDone()) {
            cancellation.run();
        }
    }

    private long now() {
        return services.clock().now();
    }
}
