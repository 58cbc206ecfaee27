package org.sequoiaspindle.daemon.transport.forwarding.request;

import io.netty.buffer.Unpooled;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sequoiaspindle.core.coordination.forwarding.admission.Admission;
import org.sequoiaspindle.core.coordination.forwarding.admission.AttemptResult;
import org.sequoiaspindle.core.coordination.forwarding.admission.RejectionReason;
import org.sequoiaspindle.core.coordination.forwarding.admission.RetryPolicy;
import org.sequoiaspindle.core.coordination.forwarding.piece.StagePlan;
import org.sequoiaspindle.core.protocol.forwarding.RejectionResponse;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.daemon.transport.forwarding.replica.AttemptOwner;
import org.sequoiaspindle.daemon.transport.forwarding.replica.AttemptTarget;
import org.sequoiaspindle.daemon.transport.forwarding.replica.ReplicaAttempt;
import org.sequoiaspindle.daemon.transport.forwarding.shared.BufferedResponse;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ClientExchange;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ClientRequest;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;
import org.sequoiaspindle.daemon.transport.http.OutboundConnection;

/**
 * Processes one client request: admission, stages, attempts at replicas and response. Confined to
 * the event loop of the client's connection.
 */
public final class ForwardedRequest implements AttemptOwner {

    private static final int CLIENT_CLOSED_REQUEST = 499;

    private final ForwardingContext context;
    private final EventLoopWorker worker;
    private final ClientExchange client;
    private final ClientRequest request;
    private final RequestTrace trace;
    private final AttemptHistory attempts = new AttemptHistory();
    private Admission.Admitted admission;
    private ReplicaSearch replicaSearch;
    private long deadlineMillis;
    private ScheduledFuture<?> deadlineTimer;
    private StageGraphExecution stages;
    private List<String> inputHandles = List.of();
    private Map<String, Long> inputBytes = Map.of();
    private List<String> unreleasedHandles = List.of();
    private boolean inputsRecomputed;
    private ReplicaAttempt currentAttempt;
    private boolean ended;

    public ForwardedRequest(
            ForwardingContext context,
            EventLoopWorker worker,
            ClientExchange client,
            ClientRequest request) {
        this.context = context;
        this.worker = worker;
        this.client = client;
        this.request = request;
        this.trace = new RequestTrace(context, request.metadata(), request.receivedAt());
    }

    @Override
    public ClientRequest request() {
        return request;
    }

    @Override
    public Admission.Admitted admission() {
        return admission;
    }

    @Override
    public List<String> inputHandles() {
        return inputHandles;
    }

    @Override
    public ClientExchange client() {
        return client;
    }

    @Override
    public long millisLeft() {
        return deadlineMillis - context.clock().now();
    }

    /**
     * Starts the request after the read that completed it. The close of a client that left before
     * its request was read is noticed in the same read.
     */
    public void startAfterRead() {
        context.metrics().recordRequestStart();
        worker.loop().execute(this::start);
    }

    private void start() {
        if (ended || !client.isConnected()) {
            return;
        }
        if (client.isRejectingRequests()) {
            reject(RejectionReason.STOPPING);
            return;
        }
        Either<RequestAdmission.Rejection, Admission.Admitted> decision =
                RequestAdmission.decide(context, request.metadata());
        if (decision.isLeft()) {
            decision.getLeft().admitted().ifPresent(trace::recordAdmission);
            reject(decision.getLeft().reason(), decision.getLeft().explanation());
            return;
        }
        admission = decision.get();
        trace.recordAdmission(admission);
        deadlineMillis =
                client.drainAdmission()
                        .limitDeadline(
                                request.receivedAt() + admission.timeoutMillis(request.metadata()));
        replicaSearch = new ReplicaSearch(context, worker, admission, request.metadata());
        if (!replicaSearch.isPossible()) {
            reject(RejectionReason.NO_REPLICA);
            return;
        }
        context.retryBudgets().recordRequest(admission.service());
        deadlineTimer =
                worker.loop()
                        .schedule(this::expire, Math.max(0, millisLeft()), TimeUnit.MILLISECONDS);
        executeStages();
    }

    private void executeStages() {
        stages =
                new StageGraphExecution(
                        context,
                        worker.loop(),
                        new StageGraphExecution.Request(
                                admission.route(),
                                request.metadata(),
                                admission.priority(),
                                replicaSearch.preferredDataCentre(inputBytes),
                                request.receivedAt() + admission.route().objectiveMillis(),
                                deadlineMillis),
                        this::stagesCompleted,
                        this::rejectOrFail);
        // The stages would be wasted if the request could not be sent at their end.
        findObstacle(stages.estimatedMillis()).ifPresentOrElse(this::rejectOrFail, stages::start);
    }

    private Optional<RejectionReason> findObstacle(long millisUntilSend) {
        return RequestAdmission.findObstacle(
                context, admission, request.metadata(), client.drainAdmission(), millisUntilSend);
    }

    private void stagesCompleted(StagePlan plan) {
        inputHandles = plan.outputHandles();
        inputBytes = plan.outputBytes(context.locator()::countByDataCentre);
        unreleasedHandles = plan.allHandles();
        trace.recordStagesCompleted(context.clock().now());
        startAttempt();
    }

    private void startAttempt() {
        Optional<RejectionReason> obstacle = ended ? Optional.empty() : findObstacle(0);
        if (obstacle.isPresent()) {
            rejectOrFail(obstacle.get());
        } else if (!ended) {
            replicaSearch.find(inputBytes, this::attempt);
        }
    }

    private void attempt(Optional<AttemptTarget> target) {
        if (ended) {
            return;
        }
        if (target.isEmpty()) {
            rejectOrFail(replicaSearch.rejectionReason());
            return;
        }
        trace.recordReplica(target.get().replica());
        currentAttempt = new ReplicaAttempt(context, worker, this, target.get());
        currentAttempt.start();
    }

    @Override
    public void recordSend(OutboundConnection connection) {
        trace.recordSend(connection);
        attempts.recordSend();
    }

    @Override
    public void releaseInputs() {
        context.releaser().release(unreleasedHandles);
        unreleasedHandles = List.of();
    }

    @Override
    public void attemptWithdrawn(Replica replica) {
        currentAttempt = null;
        trace.recordFailedAttempt(replica, AttemptResult.NOT_SENT, "may no longer be sent");
        replicaSearch.refuse(replica);
        startAttempt();
    }

    @Override
    public void attemptFinished(
            Replica replica, AttemptResult result, BufferedResponse response, String reason) {
        currentAttempt = null;
        if (result == AttemptResult.ANSWERED) {
            deliver(response);
            return;
        }
        trace.recordFailedAttempt(replica, result, reason);
        switch (attempts.recordFailure(admission.route(), result, response, millisLeft())) {
            case RETRY_UNBUDGETED -> startAttempt();
            case RETRY_WITHIN_BUDGET -> retryWithinBudget(result);
            case RECOMPUTE_INPUTS -> recomputeInputs();
            default -> finishWith(result);
        }
    }

    private void retryWithinBudget(AttemptResult result) {
        if (context.retryBudgets().tryRetry(admission.service())) {
            startAttempt();
        } else {
            finishWith(result);
        }
    }

    private void recomputeInputs() {
        if (inputsRecomputed || !context.retryBudgets().tryRetry(admission.service())) {
            rejectOrFail(RejectionReason.STAGE_FAILED);
            return;
        }
        inputsRecomputed = true;
        replicaSearch.forgetUsed();
        releaseInputs();
        executeStages();
    }

    private void finishWith(AttemptResult result) {
        rejectOrFail(RetryPolicy.rejectionReason(result, millisLeft() < RetryPolicy.MIN_LEFT_MS));
    }

    /** Rejects the request, or reports a failure if the request may have been executed. */
    private void rejectOrFail(RejectionReason reason) {
        if (attempts.serverError().isPresent()) {
            deliver(attempts.serverError().get());
        } else {
            reject(attempts.mayBeExecuted() ? RejectionReason.ANSWER_LOST : reason);
        }
    }

    private void reject(RejectionReason reason) {
        reject(reason, "");
    }

    private void reject(RejectionReason reason, String explanation) {
        if (ended) {
            return;
        }
        RejectionResponse response =
                RejectionResponse.of(
                                reason,
                                replicaSearch == null ? 0 : replicaSearch.millisUntilPossible())
                        .explainedBy(explanation);
        finish(response.status(), reason.name());
        client.writeResponse(
                response.status(),
                RejectionFields.of(response),
                Unpooled.copiedBuffer(explanation, StandardCharsets.UTF_8));
    }

    private void deliver(BufferedResponse response) {
        finish(response.status(), "none");
        client.writeResponse(response.status(), response.fields(), response.body());
    }

    @Override
    public void streamCompleted(int status) {
        finish(status, "none");
        client.endResponse();
    }

    @Override
    public void streamBroken(Replica replica, int status, String reason) {
        trace.recordFailedAttempt(replica, AttemptResult.UNKNOWN, reason);
        finish(status, RejectionReason.ANSWER_LOST.name());
        client.abortResponse();
    }

    @Override
    public void firstBytesReceived() {
        trace.recordFirstBytes(context.clock().now());
    }

    /** Ends the request because its deadline has passed or the process is about to exit. */
    public void expire() {
        if (ended) {
            return;
        }
        if (currentAttempt != null && currentAttempt.hasStartedResponse()) {
            int status = currentAttempt.responseStatus();
            finish(status, RejectionReason.TIMED_OUT.name());
            client.abortResponse();
            return;
        }
        boolean wasSent =
                attempts.mayBeExecuted() || (currentAttempt != null && currentAttempt.isSent());
        reject(wasSent ? RejectionReason.TIMED_OUT : RejectionReason.TOO_LATE);
    }

    public void clientDisconnected() {
        if (!ended) {
            finish(CLIENT_CLOSED_REQUEST, "CLIENT_LEFT");
        }
    }

    public void clientWritabilityChanged(boolean writable) {
        if (currentAttempt != null) {
            currentAttempt.setReading(writable);
        }
    }

    private void finish(int status, String reason) {
        ended = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        if (currentAttempt != null) {
            currentAttempt.abort();
            currentAttempt = null;
        }
        if (stages != null) {
            stages.cancelUnlessFinished();
        }
        releaseInputs();
        request.body().release();
        trace.finish(
                status,
                reason,
                attempts.sentAttempts(),
                stages == null ? 0 : stages.completedPieces());
    }
}
