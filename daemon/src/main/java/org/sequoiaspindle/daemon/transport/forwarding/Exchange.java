package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sequoiaspindle.core.coordination.forwarding.Admission;
import org.sequoiaspindle.core.coordination.forwarding.AttemptResult;
import org.sequoiaspindle.core.coordination.forwarding.Placement;
import org.sequoiaspindle.core.coordination.forwarding.Refusal;
import org.sequoiaspindle.core.coordination.forwarding.RepeatRule;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaChooser;
import org.sequoiaspindle.core.coordination.forwarding.StagePlan;
import org.sequoiaspindle.core.protocol.forwarding.RefusalAnswer;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.Route;

/**
 * One request from its arrival to its answer: admission, stages, attempts at replicas. Confined to
 * the event loop of the client's connection.
 */
final class Exchange {

    private static final int CLIENT_LEFT = 499;

    private static final double MILLIS_PER_SECOND = 1000;

    private final ForwardingParts parts;
    private final Worker worker;
    private final ClientConnection client;
    private final ClientRequest request;
    private final RequestTrace trace;
    private final Set<ReplicaId> tried = new HashSet<>();
    private Admission.Admitted admitted;
    private long endAt;
    private long stagedAt;
    private ScheduledFuture<?> limit;
    private StageRun stages;
    private List<String> inputs = List.of();
    private Map<String, Long> inputBytes = Map.of();
    private List<String> held = List.of();
    private boolean inputsMadeAgain;
    private Attempt attempt;
    private BufferedAnswer fallback;
    private int sends;
    private int unsent;
    private boolean mayHaveRun;
    private boolean ended;

    Exchange(ForwardingParts parts, Worker worker, ClientConnection client, ClientRequest request) {
        this.parts = parts;
        this.worker = worker;
        this.client = client;
        this.request = request;
        this.trace = new RequestTrace(parts, request.facts().id(), request.arrivedAt());
    }

    ClientRequest request() {
        return request;
    }

    Worker worker() {
        return worker;
    }

    ForwardingParts parts() {
        return parts;
    }

    Route route() {
        return admitted.route();
    }

    Admission.Admitted admitted() {
        return admitted;
    }

    List<String> inputs() {
        return inputs;
    }

    ClientConnection client() {
        return client;
    }

    /** Time until the request is given up, in milliseconds. */
    long leftMillis() {
        return endAt - parts.clock().now();
    }

    /** Refuses a request that came too late before the end of the process. */
    void refuseAsStopping() {
        parts.metrics().requestStarted();
        refuse(Refusal.STOPPING);
    }

    void start() {
        parts.metrics().requestStarted();
        Admission admission =
                Admission.decide(
                        parts.registry().table(), request.facts(), parts.keysAllowAccepting());
        if (admission instanceof Admission.Refused refused) {
            refuse(refused.reason());
            return;
        }
        admitted = (Admission.Admitted) admission;
        trace.admitted(admitted);
        parts.budgets().request(admitted.service());
        endAt =
                request.arrivedAt()
                        + Math.min(request.facts().budgetMillis(), route().timeoutMillis());
        limit =
                worker.loop()
                        .schedule(this::expire, Math.max(0, leftMillis()), TimeUnit.MILLISECONDS);
        runStages();
    }

    private void runStages() {
        stages =
                new StageRun(
                        parts,
                        worker.loop(),
                        new StageRun.Request(
                                route(),
                                request.facts(),
                                admitted.priority(),
                                choose().map(Replica::dataCentre).orElse(""),
                                request.arrivedAt() + route().objectiveMillis(),
                                endAt),
                        this::staged,
                        this::refuse);
        // Work on the stages would be lost if the key could not be relied on at their end.
        if (admitted.holder().isPresent() && !parts.keysAllowSending(stages.usualMillis())) {
            refuse(Refusal.KEYS_UNCONFIRMED);
            return;
        }
        stages.start();
    }

    private void staged(StagePlan plan) {
        inputs = plan.outputs();
        inputBytes = plan.outputBytes(parts.locator()::countByDataCentre);
        held = plan.results();
        stagedAt = parts.clock().now();
        trace.staged(stagedAt);
        attempt();
    }

    private void attempt() {
        if (ended) {
            return;
        }
        if (admitted.holder().isPresent() && !parts.keysAllowSending(0)) {
            refuseUnlessRun(Refusal.KEYS_UNCONFIRMED);
            return;
        }
        Optional<Replica> replica = choose();
        if (replica.isEmpty()) {
            refuseUnlessRun(tried.isEmpty() ? Refusal.NO_REPLICA : Refusal.FULL);
            return;
        }
        tried.add(replica.get().id());
        trace.routed(replica.get(), parts.statuses().of(replica.get()), parts.clock().now());
        attempt = new Attempt(this, replica.get());
        attempt.start();
    }

    private Optional<Replica> choose() {
        List<ReplicaChooser.Candidate> candidates =
                parts.statuses()
                        .candidates(
                                parts.registry().replicas().of(admitted.service()),
                                parts.clock().now());
        return route().sticky()
                ? Placement.choose(candidates, request.facts().promptParts(), inputBytes, tried)
                : ReplicaChooser.LEAST_LOADED.choose(candidates, request.facts().id(), tried);
    }

    /** The request is about to leave this instance. */
    void sending() {
        sends++;
    }

    /** The replica has taken the inputs of the request. */
    void inputsTaken() {
        parts.releaser().release(held);
        held = List.of();
    }

    /** Takes the end of an attempt that has not begun the answer to the client. */
    void attempted(Replica replica, AttemptResult result, BufferedAnswer answer, String reason) {
        attempt = null;
        if (result == AttemptResult.ANSWERED) {
            deliver(answer);
            return;
        }
        trace.attemptFailed(replica, result, reason);
        mayHaveRun |= result == AttemptResult.UNKNOWN || result == AttemptResult.FAILED;
        if (result == AttemptResult.FAILED) {
            fallback = answer;
        }
        if (result == AttemptResult.NOT_SENT) {
            unsent++;
        }
        switch (RepeatRule.SAFE.decide(route(), result, sends, unsent, leftMillis())) {
            case SEND_AGAIN -> attempt();
            case REPEAT_WITHIN_BUDGET -> repeat(result);
            case MAKE_INPUTS_AGAIN -> makeInputsAgain();
            default -> endWith(result);
        }
    }

    private void repeat(AttemptResult result) {
        if (parts.budgets().tryRepeat(admitted.service())) {
            attempt();
        } else {
            endWith(result);
        }
    }

    private void makeInputsAgain() {
        if (inputsMadeAgain || !parts.budgets().tryRepeat(admitted.service())) {
            refuseUnlessRun(Refusal.STAGE_FAILED);
            return;
        }
        inputsMadeAgain = true;
        tried.clear();
        inputsTaken();
        runStages();
    }

    private void endWith(AttemptResult result) {
        if (fallback != null) {
            deliver(fallback);
        } else {
            refuseUnlessRun(RepeatRule.refusal(result, leftMillis() < RepeatRule.MIN_LEFT_MS));
        }
    }

    /** A request that may have run is never told that it has not. */
    private void refuseUnlessRun(Refusal reason) {
        if (fallback != null) {
            deliver(fallback);
        } else {
            refuse(mayHaveRun ? Refusal.ANSWER_LOST : reason);
        }
    }

    private void refuse(Refusal reason) {
        if (ended) {
            return;
        }
        RefusalAnswer answer = RefusalAnswer.of(reason);
        HttpHeaders fields = new DefaultHttpHeaders();
        answer.retryAfterMillis()
                .ifPresent(
                        millis ->
                                fields.set(
                                        "Retry-After", String.valueOf(millis / MILLIS_PER_SECOND)));
        finish(answer.status(), reason.name());
        client.answer(answer.status(), fields);
    }

    private void deliver(BufferedAnswer answer) {
        finish(answer.status(), "none");
        client.answer(answer.status(), answer.fields(), answer.body());
    }

    /** The answer that was begun is complete. */
    void streamed(int status) {
        finish(status, "none");
        client.end();
    }

    /** The answer that was begun will not be complete. */
    void streamBroken(Replica replica, int status, String reason) {
        trace.attemptFailed(replica, AttemptResult.UNKNOWN, reason);
        finish(status, Refusal.ANSWER_LOST.name());
        client.breakOff();
    }

    /** The first bytes of an answer go to the client. */
    void firstBytes() {
        long now = parts.clock().now();
        trace.firstBytes(now);
        parts.runTimes().observe(route().name(), request.facts().promptTokens(), now - stagedAt);
    }

    /** Time is up: ends the request with what is known of it. */
    void expire() {
        if (ended) {
            return;
        }
        if (attempt != null && attempt.hasBegunAnswer()) {
            int status = attempt.status();
            finish(status, Refusal.TIMED_OUT.name());
            client.breakOff();
            return;
        }
        boolean sent = mayHaveRun || (attempt != null && attempt.isSent());
        refuse(sent ? Refusal.TIMED_OUT : Refusal.TOO_LATE);
    }

    void clientLeft() {
        if (!ended) {
            finish(CLIENT_LEFT, "CLIENT_LEFT");
        }
    }

    void clientWritable(boolean writable) {
        if (attempt != null) {
            attempt.read(writable);
        }
    }

    private void finish(int status, String reason) {
        ended = true;
        if (limit != null) {
            limit.cancel(false);
        }
        if (attempt != null) {
            attempt.abort();
            attempt = null;
        }
        if (stages != null) {
            stages.cancelUnlessComplete();
        }
        inputsTaken();
        request.body().release();
        trace.ended(status, reason, sends, stages == null ? 0 : stages.madeCount());
    }
}
