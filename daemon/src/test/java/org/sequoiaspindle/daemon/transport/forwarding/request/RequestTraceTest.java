package org.sequoiaspindle.daemon.transport.forwarding.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.coordination.forwarding.admission.Admission;
import org.sequoiaspindle.core.coordination.forwarding.admission.AttemptResult;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/** Guards against failed attempts that cannot be assigned to a connection afterwards. */
final class RequestTraceTest {

    private final AtomicReference<Map<String, Object>> fields =
            new AtomicReference<>(HashMap.empty());

    @Test
    void attemptThatSentNothingSaysSoInItsConnectionAndRequests() {
        RequestTrace trace = new RequestTrace(context(), metadata(), 0);
        trace.recordAdmission(new Admission.Admitted(null, "fee", Optional.empty()));
        trace.recordFailedAttempt(replica(), AttemptResult.NOT_SENT, "no connection");
        assertEquals("none", fields.get().get("connection").get());
        assertEquals(0, fields.get().get("carriedRequests").get());
    }

    private static Replica replica() {
        return new Replica(
                new ReplicaId("e-1", 0), "fee", new HostPort("127.0.0.1", 1), "a", 1, false);
    }

    private static RequestMetadata metadata() {
        return new RequestMetadata(
                "r1",
                "host",
                "/",
                1_000,
                Optional.empty(),
                List.of(),
                0,
                0,
                List.of(),
                Optional.empty());
    }

    private ForwardingContext context() {
        EventLog events = (event, eventFields) -> fields.set(eventFields);
        return new ForwardingContext(
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                new ForwardingMetrics(),
                () -> 0,
                events);
    }
}
