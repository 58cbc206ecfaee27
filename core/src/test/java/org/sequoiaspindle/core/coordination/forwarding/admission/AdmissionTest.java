package org.sequoiaspindle.core.coordination.forwarding.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.replica.ForwardingSamples;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.RequestKind;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;

/** Guards against valid requests that are rejected and invalid requests that are forwarded. */
final class AdmissionTest {

    private static final ForwardingTable TABLE =
            ForwardingSamples.table(
                    ForwardingSamples.route("/a/", RequestKind.IDEMPOTENT),
                    ForwardingSamples.route("/a/b/", RequestKind.NON_IDEMPOTENT));

    @Test
    void routeWithTheLongestMatchingPrefixIsSelected() {
        Admission admission = Admission.decide(TABLE, request("/a/b/c", "secret"), true);
        assertEquals(
                "/a/b/", assertInstanceOf(Admission.Admitted.class, admission).route().prefix());
    }

    @Test
    void priorityOfTheOrganisationTakesPrecedence() {
        Admission admission = Admission.decide(TABLE, request("/a/x", "secret"), true);
        assertEquals(0, assertInstanceOf(Admission.Admitted.class, admission).priority());
    }

    @Test
    void instanceWithoutConfigurationDoesNotReportAMissingRoute() {
        assertRejected(
                RejectionReason.NO_CONFIGURATION,
                Admission.decide(ForwardingTable.NONE, request("/a/", "secret"), false));
    }

    @Test
    void requestWithAnUnknownKeyIsRejected() {
        assertRejected(
                RejectionReason.UNKNOWN_KEY,
                Admission.decide(TABLE, request("/a/", "other"), true));
    }

    @Test
    void requestWithAKeyIsRejectedWhileKeysAreUnconfirmed() {
        assertRejected(
                RejectionReason.KEYS_UNCONFIRMED,
                Admission.decide(TABLE, request("/a/", "secret"), false));
    }

    @Test
    void requestOutsideEveryPrefixIsRejected() {
        assertRejected(
                RejectionReason.NO_ROUTE, Admission.decide(TABLE, request("/b/", "secret"), true));
    }

    private static void assertRejected(RejectionReason expected, Admission admission) {
        assertEquals(expected, assertInstanceOf(Admission.Rejected.class, admission).reason());
    }

    private static RequestMetadata request(String path, String key) {
        return ForwardingSamples.request(path, Optional.of(key), List.of());
    }
}
