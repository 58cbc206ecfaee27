package org.sequoiaspindle.daemon.transport.forwarding.request;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import java.util.stream.Collectors;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.forwarding.admission.Admission;
import org.sequoiaspindle.core.coordination.forwarding.admission.AttemptResult;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatus;
import org.sequoiaspindle.core.state.forwarding.PromptPart;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;
import org.sequoiaspindle.daemon.transport.http.OutboundConnection;

/**
 * Collects the log fields and metrics of one request. Confined to the event loop of the request.
 */
final class RequestTrace {

    private static final long NOT_REACHED = -1;

    private final ForwardingContext context;
    private final RequestMetadata metadata;
    private final long receivedAt;
    private Admission.Admitted admission;
    private long stagedMillis = NOT_REACHED;
    private long firstBytesMillis = NOT_REACHED;
    private String endpoint = "none";
    private String connection = "none";
    private int carriedRequests;
    private double load;
    private long loadAgeMillis = NOT_REACHED;

    RequestTrace(ForwardingContext context, RequestMetadata metadata, long receivedAt) {
        this.context = context;
        this.metadata = metadata;
        this.receivedAt = receivedAt;
    }

    void recordAdmission(Admission.Admitted decision) {
        admission = decision;
    }

    void recordStagesCompleted(long now) {
        stagedMillis = now - receivedAt;
    }

    /** Records the selected replica and its estimated load. */
    void recordReplica(Replica replica) {
        ReplicaStatus status = context.statuses().statusOf(replica);
        long now = context.clock().now();
        endpoint = replica.id().toString();
        connection = "none";
        carriedRequests = 0;
        load = status.expectedLoad(now);
        loadAgeMillis = status.reportAgeMillis(now).orElse(NOT_REACHED);
    }

    /** Records the connection on which the request is about to be sent. */
    void recordSend(OutboundConnection outboundConnection) {
        connection = outboundConnection.name();
        carriedRequests = outboundConnection.carriedRequestCount();
    }

    /** Records the first bytes of the response, and the time to them for the estimates. */
    void recordFirstBytes(long now) {
        firstBytesMillis = now - receivedAt;
        context.firstByteTimes()
                .observe(
                        admission.route().name(),
                        metadata.promptTokens(),
                        firstBytesMillis - stagedMillis);
    }

    void recordFailedAttempt(Replica replica, AttemptResult result, String reason) {
        context.metrics().recordAttempt(admission.service(), result.name());
        context.events()
                .record(
                        LogEvent.ATTEMPT_FAILED,
                        LinkedHashMap.of(
                                "requestId",
                                metadata.id(),
                                "promptParts",
                                promptPartIds(),
                                "endpoint",
                                replica.id().toString(),
                                "connection",
                                connection,
                                "carriedRequests",
                                carriedRequests,
                                "result",
                                result.name(),
                                "reason",
                                reason,
                                "atMs",
                                context.clock().now() - receivedAt));
    }

    private String promptPartIds() {
        return metadata.promptParts().stream().map(PromptPart::id).collect(Collectors.joining(","));
    }

    /** Records the end of the request, for which {@code completedPieces} pieces were completed. */
    void finish(int status, String reason, int sentAttempts, int completedPieces) {
        long millis = context.clock().now() - receivedAt;
        String service = admission == null ? "none" : admission.service();
        context.metrics().recordRequestEnd(service, status, reason, millis);
        Map<String, Object> fields =
                LinkedHashMap.<String, Object>of(
                                "requestId", metadata.id(),
                                "route", admission == null ? "none" : admission.route().name(),
                                "service", service,
                                "status", status,
                                "reason", reason,
                                "sends", sentAttempts,
                                "stagedMs", stagedMillis,
                                "firstBytesMs", firstBytesMillis,
                                "durationMs", millis,
                                "generation", context.registry().configuration().version())
                        .put("pieces", completedPieces)
                        .put("endpoint", endpoint)
                        .put("connection", connection)
                        .put("carriedRequests", carriedRequests)
                        .put("load", Math.round(load))
                        .put("loadAgeMs", loadAgeMillis);
        context.events().record(LogEvent.FORWARD_ENDED, fields);
    }
}
