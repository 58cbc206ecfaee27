package org.sequoiaspindle.daemon.transport.forwarding;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.forwarding.Admission;
import org.sequoiaspindle.core.coordination.forwarding.AttemptResult;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaStatus;
import org.sequoiaspindle.core.state.forwarding.Replica;

/** Gathers what the log and the metrics say of one request. Confined to its event loop. */
final class RequestTrace {

    private static final long NEVER = -1;

    private final ForwardingParts parts;
    private final String requestId;
    private final long arrivedAt;
    private Admission.Admitted admitted;
    private long stagedMillis = NEVER;
    private long firstBytesMillis = NEVER;
    private String endpoint = "none";
    private double load;
    private long loadAgeMillis = NEVER;

    RequestTrace(ForwardingParts parts, String requestId, long arrivedAt) {
        this.parts = parts;
        this.requestId = requestId;
        this.arrivedAt = arrivedAt;
    }

    void admitted(Admission.Admitted decision) {
        admitted = decision;
    }

    void staged(long now) {
        stagedMillis = now - arrivedAt;
    }

    /** Notes the endpoint that was chosen, and what was known of its load. */
    void routed(Replica replica, ReplicaStatus status, long now) {
        endpoint = replica.id().toString();
        load = status.expectedLoad(now);
        loadAgeMillis = status.reportAgeMillis(now).orElse(NEVER);
    }

    void firstBytes(long now) {
        firstBytesMillis = now - arrivedAt;
    }

    void attemptFailed(Replica replica, AttemptResult result, String reason) {
        parts.metrics().attempted(admitted.service(), result.name());
        parts.events()
                .record(
                        LogEvent.ATTEMPT_FAILED,
                        LinkedHashMap.of(
                                "requestId",
                                requestId,
                                "endpoint",
                                replica.id().toString(),
                                "result",
                                result.name(),
                                "reason",
                                reason,
                                "atMs",
                                parts.clock().now() - arrivedAt));
    }

    /** Notes the end of the request; {@code pieces} counts the results made for it. */
    void ended(int status, String reason, int sends, int pieces) {
        long millis = parts.clock().now() - arrivedAt;
        String service = admitted == null ? "none" : admitted.service();
        parts.metrics().requestEnded(service, status, reason, millis);
        Map<String, Object> fields =
                LinkedHashMap.<String, Object>of(
                                "requestId", requestId,
                                "route", admitted == null ? "none" : admitted.route().name(),
                                "service", service,
                                "status", status,
                                "reason", reason,
                                "sends", sends,
                                "stagedMs", stagedMillis,
                                "firstBytesMs", firstBytesMillis,
                                "durationMs", millis,
                                "generation", parts.registry().table().version())
                        .put("pieces", pieces)
                        .put("endpoint", endpoint)
                        .put("load", Math.round(load))
                        .put("loadAgeMs", loadAgeMillis);
        parts.events().record(LogEvent.FORWARD_ENDED, fields);
    }
}
