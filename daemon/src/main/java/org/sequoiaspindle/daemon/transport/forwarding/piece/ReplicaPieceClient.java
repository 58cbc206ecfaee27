package org.sequoiaspindle.daemon.transport.forwarding.piece;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.piece.BatchSelection;
import org.sequoiaspindle.core.coordination.forwarding.piece.PieceCallTimeout;
import org.sequoiaspindle.core.coordination.forwarding.piece.RecentHandles;
import org.sequoiaspindle.core.protocol.forwarding.HttpDialect;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaResponseHead;
import org.sequoiaspindle.core.protocol.forwarding.StageCodec;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ReplicaAnswerRecorder;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool.Destination;
import org.sequoiaspindle.daemon.transport.http.HttpCallClient;

/**
 * Sends the calls with which replicas execute pieces. Responses do not name their call. Only a
 * result that the replica has not returned before shows that a response is not a copy of an earlier
 * one, so a connection is used again only after such a response. Confined to the event loop of the
 * HTTP client.
 */
public final class ReplicaPieceClient {

    /** Maximum size of the response to a call, without the results. */
    private static final int MAX_RESPONSE_BYTES = 16 * 1024;

    /** Maximum size of one result in a response. */
    private static final int MAX_RESULT_BYTES = 1_024;

    private final HttpCallClient client;
    private final ReplicaAnswerRecorder answerRecorder;
    private final HttpDialect dialect;
    private final StageCodec codec;
    private final MillisClock clock;
    private final RecentHandles knownHandles = new RecentHandles();

    /** Outcome of a call. */
    sealed interface Outcome {}

    /** The replica returned a result for every piece, in the order of the call. */
    record Responded(List<PieceResult> results) implements Outcome {

        private boolean hasResult() {
            return results.stream().anyMatch(PieceResult.Completed.class::isInstance);
        }
    }

    /** No part of the call was sent. */
    record NotSent(String reason) implements Outcome {}

    /** The replica reports that it did not start the call. */
    record Busy() implements Outcome {}

    /** No usable response arrived; the pieces may have been computed. */
    record Failed(String reason) implements Outcome {}

    public ReplicaPieceClient(
            HttpCallClient client,
            ReplicaAnswerRecorder answerRecorder,
            HttpDialect dialect,
            StageCodec codec,
            MillisClock clock) {
        this.client = client;
        this.answerRecorder = answerRecorder;
        this.dialect = dialect;
        this.codec = codec;
        this.clock = clock;
    }

    /** Sends a call. The returned future completes on the event loop of the HTTP client. */
    CompletionStage<Outcome> execute(BatchSpec spec, BatchSelection.Batch batch) {
        AtomicReference<Outcome> outcome = new AtomicReference<>();
        return client.execute(call(spec, batch, clock.now(), outcome))
                .thenApply(
                        result ->
                                result.fold(
                                        ReplicaPieceClient::outcomeOf, response -> outcome.get()));
    }

    private static Outcome outcomeOf(HttpCallClient.Failure failure) {
        return failure.sent() ? new Failed(failure.reason()) : new NotSent(failure.reason());
    }

    private HttpCallClient.Call call(
            BatchSpec spec,
            BatchSelection.Batch batch,
            long now,
            AtomicReference<Outcome> outcome) {
        return new HttpCallClient.Call(
                new Destination(batch.replica().address(), batch.replica().id().toString()),
                "POST",
                codec.executePath(),
                codec.headerFields(batch.replica()),
                codec.encodeExecute(batch.pieces(), now),
                PieceCallTimeout.millis(spec, batch.pieces(), now),
                MAX_RESPONSE_BYTES + MAX_RESULT_BYTES * batch.pieces().size(),
                () -> mayCall(batch.replica()),
                response -> {
                    outcome.set(readResponse(batch, response));
                    return outcome.get() instanceof Responded responded && responded.hasResult();
                });
    }

    private Outcome readResponse(BatchSelection.Batch batch, HttpCallClient.Response response) {
        ReplicaResponseHead responseHead =
                dialect.responseReader().read(response.status(), response.field());
        if (!responseHead.isSuccess() || responseHead.notExecuted()) {
            answerRecorder.record(batch.replica(), responseHead);
            return responseHead.notExecuted()
                    ? new Busy()
                    : new Failed("status " + responseHead.status());
        }
        Either<String, List<PieceResult>> results =
                codec.decodeResults(response.body(), batch.pieces().size())
                        .flatMap(decoded -> requireNewHandles(batch.replica(), decoded));
        if (results.isRight()) {
            answerRecorder.record(batch.replica(), responseHead);
        } else {
            answerRecorder.recordPossibleCopy(batch.replica(), responseHead);
        }
        return results.fold(Failed::new, Responded::new);
    }

    /** Rejects a response with results that are not the replica's or that an earlier call made. */
    private Either<String, List<PieceResult>> requireNewHandles(
            Replica replica, List<PieceResult> results) {
        List<String> handles =
                results.stream()
                        .filter(PieceResult.Completed.class::isInstance)
                        .map(result -> ((PieceResult.Completed) result).handle())
                        .toList();
        boolean areFromReplica =
                handles.stream()
                        .map(codec::replicaAddress)
                        .allMatch(address -> address.filter(replica.address()::equals).isPresent());
        return areFromReplica && knownHandles.addAll(replica.id(), handles)
                ? Either.right(results)
                : Either.left("result of another call");
    }

    private boolean mayCall(Replica replica) {
        return answerRecorder.statuses().acceptsCalls(replica, clock.now());
    }
}
