package org.sequoiaspindle.daemon.transport.forwarding;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.BatchRule;
import org.sequoiaspindle.core.coordination.forwarding.Piece;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaStatus;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.AnswerFacts;
import org.sequoiaspindle.core.protocol.forwarding.HttpDialect;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.protocol.forwarding.StageCodec;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool.Destination;
import org.sequoiaspindle.daemon.transport.http.HttpCalls;

/** Makes the calls in which replicas are asked for pieces. Thread-safe. */
final class PieceCalls {

    /** Factor over the expected time after which a call is given up; machines share their load. */
    private static final double PATIENCE = 3;

    private final HttpCalls calls;
    private final ReplicaStatuses statuses;
    private final HttpDialect dialect;
    private final StageCodec codec;
    private final MillisClock clock;

    /** What became of a call. */
    sealed interface Outcome {}

    /** The replica answered for every piece, in the order of the call. */
    record Answered(List<PieceResult> results) implements Outcome {}

    /** Nothing of the call left this instance. */
    record NotSent(String reason) implements Outcome {}

    /** The replica says that it did not begin the call. */
    record Full() implements Outcome {}

    /** No usable answer came; the pieces may have been made. */
    record Failed(String reason) implements Outcome {}

    PieceCalls(
            HttpCalls calls,
            ReplicaStatuses statuses,
            HttpDialect dialect,
            StageCodec codec,
            MillisClock clock) {
        this.calls = calls;
        this.statuses = statuses;
        this.dialect = dialect;
        this.codec = codec;
        this.clock = clock;
    }

    /** Makes a call; the stage completes on the event loop of the calls. */
    CompletionStage<Outcome> make(BatchSpec spec, BatchRule.Batch batch) {
        return calls.execute(call(spec, batch, clock.now()))
                .thenApply(answer -> outcome(batch, answer));
    }

    private HttpCalls.Call call(BatchSpec spec, BatchRule.Batch batch, long now) {
        long latest = batch.pieces().stream().mapToLong(Piece::usefulUntil).max().orElse(now) - now;
        double patient = spec.durationMillis(spec.maxPieces()) * (spec.queue() + 1) * PATIENCE;
        long limit = Math.max(1, Math.min(latest, (long) patient));
        return new HttpCalls.Call(
                new Destination(batch.replica().address(), batch.replica().id().toString()),
                "POST",
                codec.runPath(),
                codec.fields(batch.replica()),
                codec.run(batch.pieces(), now),
                limit);
    }

    private Outcome outcome(
            BatchRule.Batch batch, Either<HttpCalls.Failure, HttpCalls.Answer> answer) {
        return answer.fold(
                failure ->
                        failure.sent()
                                ? new Failed(failure.reason())
                                : new NotSent(failure.reason()),
                whole -> read(batch, whole));
    }

    private Outcome read(BatchRule.Batch batch, HttpCalls.Answer answer) {
        ReplicaStatus status = statuses.of(batch.replica());
        AnswerFacts facts = dialect.answers().read(answer.status(), answer.field());
        facts.load().ifPresent(load -> status.loadReported(load, clock.now()));
        if (facts.notExecuted()) {
            return new Full();
        }
        if (!facts.isSuccess()) {
            return new Failed("status " + facts.status());
        }
        return codec.results(answer.body(), batch.pieces().size()).fold(Failed::new, Answered::new);
    }
}
