package org.sequoiaspindle.daemon.transport.forwarding.shared;

import io.netty.handler.codec.http.HttpResponse;
import io.vavr.collection.HashMap;
import java.util.Optional;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.protocol.forwarding.HttpDialect;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaResponseHead;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.daemon.transport.http.OutboundConnection;
import org.sequoiaspindle.daemon.transport.http.UnrequestedBytes;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/** Logs and counts answers that servers send besides the answer to a request. Thread-safe. */
public record StrayAnswerLog(
        HttpDialect.ResponseReader responseReader, ForwardingMetrics metrics, EventLog events) {

    private static final String NONE = "none";

    /** Records bytes on a connection without a request in progress. */
    public void recordUnrequested(UnrequestedBytes bytes) {
        Optional<ReplicaResponseHead> head = bytes.head().map(this::read);
        record(
                NONE,
                bytes.destination().processId(),
                bytes.connection(),
                bytes.carriedRequests(),
                head.flatMap(ReplicaResponseHead::requestId),
                head.map(ReplicaResponseHead::status).orElse(0));
    }

    /** Records an answer to another request that arrived in place of the expected one. */
    public void recordDiscarded(
            String requestId,
            Replica replica,
            OutboundConnection connection,
            ReplicaResponseHead head) {
        record(
                requestId,
                replica.id().toString(),
                connection.name(),
                connection.carriedRequestCount(),
                head.requestId(),
                head.status());
    }

    private void record(
            String requestId,
            String endpoint,
            String connection,
            int carriedRequests,
            Optional<String> answeredId,
            int status) {
        metrics.recordStrayAnswer(requestId.equals(NONE));
        events.record(
                LogEvent.STRAY_ANSWER,
                HashMap.of(
                        "requestId", requestId,
                        "endpoint", endpoint,
                        "connection", connection,
                        "carriedRequests", carriedRequests,
                        "answeredId", answeredId.orElse(NONE),
                        "status", status));
    }

    private ReplicaResponseHead read(HttpResponse response) {
        return responseReader.read(
                response.status().code(),
                name -> Optional.ofNullable(response.headers().get(name)));
    }
}
