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

    private final RequestDependencies dependencies;
    private final StageCall stage;
    private final TokenSink sink;
    private final GroupScheduler scheduler;
    private final AtomicReference<StageExecutionState> state =
            new AtomicReference<>(StageExecutionState.initial());
    private final ConcurrentHashMap<Integer, Runnable> cancellations = new ConcurrentHashMap<>();
    private final CompletableFuture<StageOutcome> stageOutcome = new CompletableFuture<>();

    StageExecution(RequestDependencies dependencies, StageCall stage, TokenSink sink) {
        this.dependencies = dependencies;
        this.stage = stage;
        this.sink = sink;
        this.scheduler = dependencies.groups().scheduler(stage.plannedStage().group());
    }

    /**
     * Starts the stage of the pipeline. The returned future completes no later than the deadline.
     */
    CompletionStage<StageOutcome> start() {
        dependencies.budget().recordFirstAttempt();
        long remainingMs = stage.plan().deadline().remaining(now());
        Runnable stopTimer = dependencies.timer().schedule(remainingMs, this::onDeadline);
        stageOutcome.whenComplete(
                (outcome, failure) -> {
                    stopTimer.run();
                    cancellations.values().forEach(Runnable::run);
                });
        startAttempt(stage.profile());
        return stageOutcome;
    }

    private void startAttempt(CallProfile profile) {
        int number = state.updateAndGet(StageExecutionState::startAttempt).attemptsStarted();
        long submittedAt = now();
        SubmittedCall submittedCall = scheduler.submit(profile);
        registerCancellation(number, submittedCall.withdrawal());
        Invariants.reportFailure(
                submittedCall
                        .decision()
                        .thenAccept(
                                decision ->
                                        onDecision(
                                                number,
                                                profile,
                                                submittedCall.callId(),
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
        Assigned assignment = (Assigned) decision;
        if (!startCall(number)) {
            releaseSlot(assignment, callId);
            return;
        }
        send(
                dependencies.endpoints(),
                new SentAttempt(stage, number, profile, callId, assignment, submittedAt, now()));
    }

    /** Forwards the stage to another data centre if possible; otherwise ends the attempt. */
    private void onRefusal(int number, CallProfile profile, long submittedAt, RefusalCause cause) {
        Option<String> peerAddress =
                cause == RefusalCause.WITHDRAWN
                        ? Option.none()
                        : dependencies
                                .spillover()
                                .targetSelector()
                                .select(stage.plannedStage().group(), cause);
        if (peerAddress.isDefined() && startCall(number)) {
            Assigned remoteTarget = new Assigned(stage.plannedStage().group(), peerAddress.get());
            SentAttempt attempt =
                    new SentAttempt(
                            stage, number, profile, NO_CALL_ID, remoteTarget, submittedAt, now());
            send(dependencies.spillover().forwarder(), attempt);
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

    private void releaseSlot(Assigned assignment, long callId) {
        CallReport cancellationReport =
                new CallReport(CallReport.ResultKind.CANCELLED, 0, 1, Option.none());
        scheduler.complete(assignment.endpoint(), callId, stage.name(), cancellationReport);
    }

    private void send(EndpointCaller caller, SentAttempt attempt) {
        SpanTracer.ActiveSpan span =
                dependencies
                        .tracer()
                        .start(
                                "stage " + stage.name(),
                                stage.traceParent(),
                                HashMap.of(
                                        "attempt",
                                        attempt.number(),
                                        "endpoint",
                                        attempt.assignment().endpoint()));
        StreamAssembler.Progress progress = state.get().progress();
        EndpointCall call = attempt.toCall(progress, span.traceParent());
        StreamAssembler stream =
                new StreamAssembler(
                        state.get().progress(), token -> deliver(attempt.number(), token));
        EndpointExchange exchange = caller.call(call, stream);
        registerCancellation(attempt.number(), exchange::cancel);
        scheduleHedge(attempt);
        Invariants.reportFailure(
                exchange.result()
                        .thenAccept(result -> onCallEnd(attempt, call, stream, span, result)));
    }

    private void scheduleHedge(SentAttempt attempt) {
        if (attempt.number() > 1) {
            return;
        }
        var model = scheduler.state().model();
        Option<Long> delay =
                dependencies
                        .hedgeRule()
                        .delayMs(
                                stage,
                                model.expectedMs(attempt.profile()),
                                model.deviationMs(attempt.profile()));
        delay.forEach(
                millis -> {
                    Runnable stop =
                            dependencies.timer().schedule(millis, () -> startHedge(attempt));
                    stageOutcome.whenComplete((outcome, failure) -> stop.run());
                });
    }

    private void startHedge(SentAttempt slowAttempt) {
        boolean stillWithoutOutput = state.get().isOnlyActiveWithoutOutput(slowAttempt.number());
        if (!stageOutcome.isDone()
                && stillWithoutOutput
                && dependencies.budget().tryAcquireExtraAttempt()) {
            startAttempt(
                    slowAttempt.profile().withTriedEndpoint(slowAttempt.assignment().endpoint()));
        }
    }

    private boolean deliver(int number, Token token) {
        StageExecutionState current = state.updateAndGet(before -> before.withWinnerIfNone(number));
        if (current.winner() != number || stageOutcome.isDone()) {
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
            SentAttempt attempt,
            EndpointCall call,
            StreamAssembler stream,
            SpanTracer.ActiveSpan span,
            CallResult rawResult) {
        CallResult result = CallResults.validate(call, rawResult, stream);
        if (result != rawResult) {
            dependencies
                    .events()
                    .record(
                            LogEvent.LATE_ANSWER_DROPPED,
                            HashMap.of(
                                    "endpoint",
                                    call.endpoint(),
                                    "reason",
                                    CallResults.reasonOf(result)));
        }
        boolean cancelled = stageOutcome.isDone() || state.get().hasOtherWinner(attempt.number());
        long endedAt = now();
        cancellations.remove(attempt.number());
        scheduler.complete(
                attempt.assignment().endpoint(),
                attempt.callId(),
                stage.name(),
                CallResults.toCallReport(
                        result, cancelled, endedAt - attempt.sentAt(), attempt.actualSize(stream)));
        span.end(result.getClass().getSimpleName());
        AttemptReport report = attempt.toReport(result, endedAt);
        StageExecutionState stateAfter =
                state.updateAndGet(
                        current ->
                                current.endCall(
                                        attempt.number(), report, result, stream.progress()));
        if (result instanceof CallResult.Completed completed) {
            onSuccess(attempt.number(), completed, stream);
        } else if (!stageOutcome.isDone() && !stateAfter.anyActive()) {
            retryOrGiveUp(attempt, result, stateAfter);
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
            SentAttempt attempt, CallResult result, StageExecutionState stateAfter) {
        FailedAttempt failedAttempt =
                new FailedAttempt(
                        stage.idempotent(),
                        result.provablyNotRun() && !stateAfter.mayHaveRun(),
                        !(result instanceof CallResult.NotSent),
                        attempt.number());
        RetryDecision decision = dependencies.retryRule().decide(failedAttempt);
        boolean retryGranted =
                decision == RetryDecision.RETRY
                        || decision == RetryDecision.RETRY_WITHIN_BUDGET
                                && dependencies.budget().tryAcquireExtraAttempt();
        if (retryGranted) {
            startAttempt(attempt.profile().withTriedEndpoint(attempt.assignment().endpoint()));
            return;
        }
        finish(StageFailures.lastAttemptFailed(result, stateAfter, stage.idempotent()));
    }

    private void onDeadline() {
        StageExecutionState closed = state.updateAndGet(StageExecutionState::close);
        finish(StageFailures.deadlinePassed(closed, stage.idempotent()));
    }

    private void finish(StageOutcome outcome) {
        stageOutcome.complete(outcome);
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
        if (stageOutcome.isDone()) {
            cancellation.run();
        }
    }

    private long now() {
        return dependencies.clock().now();
    }
}
