package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.HashMap;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.retry.RetryRule.FailedAttempt;
import org.sequoiaspindle.core.coordination.retry.RetryRule.RetryDecision;
import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.CallReport;
import org.sequoiaspindle.core.coordination.routing.GroupScheduler;
import org.sequoiaspindle.core.coordination.routing.GroupScheduler.SubmittedCall;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.Assigned;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.RefusalCause;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.Refused;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.state.Outcome;

/**
 * Runs one stage of one request: one attempt, then retries or one hedge as the rules allow, until
 * an attempt succeeds, no further attempt is allowed or the deadline passes. The first attempt that
 * delivers a token or completes wins; the other attempts are cancelled. Callbacks may arrive on any
 * thread.
 */
final class StageExecution {

    /** Call id of calls that occupy no slot in this data centre. */
    private static final long NO_CALL_ID = 0;

    private final RequestDependencies services;
    private final StageCall stage;
    private final TokenSink sink;
    private final GroupScheduler scheduler;
    private final AtomicReference<StageExecutionState> state =
            new AtomicReference<>(StageExecutionState.initial());
    private final ConcurrentHashMap<Integer, Runnable> cancellations = new ConcurrentHashMap<>();
    private final CompletableFuture<StageOutcome> done = new CompletableFuture<>();

    StageExecution(RequestDependencies services, StageCall stage, TokenSink sink) {
        this.services = services;
        this.stage = stage;
        this.sink = sink;
        this.scheduler = services.groups().scheduler(stage.planned().group());
    }

    /** Starts the stage. The returned stage completes when the deadline passes at the latest. */
    CompletionStage<StageOutcome> start() {
        services.budget().recordFirstAttempt();
        long remaining = stage.plan().deadline().remaining(now());
        Runnable stopTimer = services.timer().schedule(remaining, this::onDeadline);
        done.whenComplete(
                (outcome, failure) -> {
                    stopTimer.run();
                    cancellations.values().forEach(Runnable::run);
                });
        startAttempt(stage.profile());
        return done;
    }

    private void startAttempt(CallProfile profile) {
        int number = state.updateAndGet(StageExecutionState::startAttempt).attemptsStarted();
        long submittedAt = now();
        SubmittedCall submitted = scheduler.submit(profile);
        registerCancellation(number, submitted.withdrawal());
        Invariants.reportFailure(
                submitted
                        .decision()
                        .thenAccept(
                                decision ->
                                        onDecision(
                                                number,
                                                profile,
                                                submitted.callId(),
                                                submittedAt,
                                                decision)));
    }

    private void onDecision(
            int number,
            CallProfile profile,
            long callId,
            long submittedAt,
            RoutingDecision decision) {
        if (decision instanceof Refused refused) {
            onRefusal(number, profile, submittedAt, refused.cause());
            return;
        }
        Assigned assigned = (Assigned) decision;
        if (!startCall(number)) {
            releaseSlot(assigned, callId);
            return;
        }
        send(
                services.endpoints(),
                new SentAttempt(stage, number, profile, callId, assigned, submittedAt, now()));
    }

    /** Forwards the stage to another data centre if possible; otherwise ends the attempt. */
    private void onRefusal(int number, CallProfile profile, long submittedAt, RefusalCause cause) {
        Option<String> peer =
                cause == RefusalCause.WITHDRAWN
                        ? Option.none()
                        : services.spillover()
                                .targetSelector()
                                .select(stage.planned().group(), cause);
        if (peer.isDefined() && startCall(number)) {
            Assigned remote = new Assigned(stage.planned().group(), peer.get());
            SentAttempt sent =
                    new SentAttempt(stage, number, profile, NO_CALL_ID, remote, submittedAt, now());
            send(services.spillover().forwarder(), sent);
            return;
        }
        cancellations.remove(number);
        if (!state.updateAndGet(current -> current.endAttempt(number)).anyActive()) {
            finish(StageFailures.noEndpointAssigned(cause, state.get(), stage.idempotent()));
        }
    }

    private boolean startCall(int number) {
        return state.updateAndGet(current -> current.startCall(number))
                .callsInFlight()
                .contains(number);
    }

    private void releaseSlot(Assigned assigned, long callId) {
        CallReport unused = new CallReport(CallReport.ResultKind.CANCELLED, 0, 1, Option.none());
        scheduler.complete(assigned.endpoint(), callId, stage.name(), unused);
    }

    private void send(EndpointCaller caller, SentAttempt sent) {
        SpanTracer.ActiveSpan span =
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
        EndpointCall call = sent.toCall(progress, span.traceParent());
        StreamAssembler stream =
                new StreamAssembler(state.get().progress(), token -> deliver(sent.number(), token));
        EndpointExchange exchange = caller.call(call, stream);
        registerCancellation(sent.number(), exchange::cancel);
        scheduleHedge(sent);
        Invariants.reportFailure(
                exchange.result()
                        .thenAccept(result -> onCallEnd(sent, call, stream, span, result)));
    }

    private void scheduleHedge(SentAttempt sent) {
        if (sent.number() > 1) {
            return;
        }
        var model = scheduler.state().model();
        Option<Long> delay =
                services.hedgeRule()
                        .delayMs(
                                stage,
                                model.expectedMs(sent.profile()),
                                model.deviationMs(sent.profile()));
        delay.forEach(
                millis -> {
                    Runnable stop = services.timer().schedule(millis, () -> startHedge(sent));
                    done.whenComplete((outcome, failure) -> stop.run());
                });
    }

    private void startHedge(SentAttempt slow) {
        boolean stillWithoutOutput = state.get().isOnlyActiveWithoutOutput(slow.number());
        if (!done.isDone() && stillWithoutOutput && services.budget().tryAcquireExtraAttempt()) {
            startAttempt(slow.profile().withTriedEndpoint(slow.assigned().endpoint()));
        }
    }

    private boolean deliver(int number, Token token) {
        StageExecutionState current = state.updateAndGet(before -> before.withWinnerIfNone(number));
        if (current.winner() != number || done.isDone()) {
            return false;
        }
        cancelOthers(number);
        if (sink.accept(token)) {
            return true;
        }
        finish(StageFailures.callerGone(state.get()));
        return false;
    }

    private void onCallEnd(
            SentAttempt sent,
            EndpointCall call,
            StreamAssembler stream,
            SpanTracer.ActiveSpan span,
            CallResult rawResult) {
        CallResult result = CallResults.validated(call, rawResult, stream);
        if (result != rawResult) {
            services.events()
                    .record(
                            LogEvent.LATE_ANSWER_DROPPED,
                            HashMap.of(
                                    "endpoint",
                                    call.endpoint(),
                                    "reason",
                                    CallResults.reasonText(result)));
        }
        boolean cancelled = done.isDone() || state.get().hasOtherWinner(sent.number());
        long endedAt = now();
        cancellations.remove(sent.number());
        scheduler.complete(
                sent.assigned().endpoint(),
                sent.callId(),
                stage.name(),
                CallResults.toCallReport(
                        result, cancelled, endedAt - sent.sentAt(), sent.actualSize(stream)));
        span.end(result.getClass().getSimpleName());
        AttemptReport report = sent.toReport(result, endedAt);
        StageExecutionState after =
                state.updateAndGet(
                        current ->
                                current.endCall(sent.number(), report, result, stream.progress()));
        if (result instanceof CallResult.Completed completed) {
            onSuccess(sent.number(), completed, stream);
        } else if (!done.isDone() && !after.anyActive()) {
            retryOrGiveUp(sent, result, after);
        }
    }

    private void onSuccess(int number, CallResult.Completed completed, StreamAssembler stream) {
        StageExecutionState current = state.updateAndGet(before -> before.withWinnerIfNone(number));
        if (current.winner() == number) {
            String output = stage.streams() ? stream.progress().text() : completed.output();
            finish(
                    new StageOutcome(
                            Outcome.ANSWERED,
                            OutcomeReason.NONE,
                            "",
                            output,
                            current.reports(),
                            true));
        }
    }

    private void retryOrGiveUp(
            SentAttempt sent, CallResult result, StageExecutionState stateAfter) {
        FailedAttempt attempt =
                new FailedAttempt(
                        stage.idempotent(),
                        result.provablyNotRun() && !stateAfter.mayHaveRun(),
                        !(result instanceof CallResult.NotSent),
                        sent.number());
        RetryDecision decision = services.retryRule().decide(attempt);
        boolean retryGranted =
                decision == RetryDecision.RETRY
                        || decision == RetryDecision.RETRY_WITHIN_BUDGET
                                && services.budget().tryAcquireExtraAttempt();
        if (retryGranted) {
            startAttempt(sent.profile().withTriedEndpoint(sent.assigned().endpoint()));
            return;
        }
        finish(StageFailures.lastAttemptFailed(result, stateAfter, stage.idempotent()));
    }

    private void onDeadline() {
        StageExecutionState closed = state.updateAndGet(StageExecutionState::close);
        finish(StageFailures.deadlinePassed(closed, stage.idempotent()));
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

    private void registerCancellation(int number, Runnable cancellation) {
        cancellations.put(number, cancellation);
        if (done.isDone()) {
            cancellation.run();
        }
    }

    private long now() {
        return services.clock().now();
    }
}
