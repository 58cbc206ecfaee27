package org.sequoiaspindle.core.coordination.forwarding.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.admission.RetryPolicy.Action;
import org.sequoiaspindle.core.coordination.forwarding.replica.ForwardingSamples;
import org.sequoiaspindle.core.state.forwarding.RequestKind;
import org.sequoiaspindle.core.state.forwarding.Route;

/** Guards against requests that are executed twice or sent to too many replicas. */
final class RetryPolicyTest {

    private static final long ENOUGH_MS = 1_000;

    @Property(seed = "20261204")
    void requestThatMayHaveBeenExecutedIsRetriedOnlyIfTheRouteAllowsRetries(
            @ForAll RequestKind kind,
            @ForAll AttemptResult result,
            @ForAll @IntRange(max = 4) int sentAttempts) {
        Route route = ForwardingSamples.route("/", kind, 3, List.of());
        Action action = RetryPolicy.SAFE.decide(route, result, sentAttempts, 0, ENOUGH_MS);
        boolean mayHaveBeenExecuted =
                result == AttemptResult.UNKNOWN || result == AttemptResult.FAILED;
        if (mayHaveBeenExecuted && !route.isRetryable()) {
            assertEquals(Action.FINISH, action);
        }
        if (sentAttempts >= route.maxAttempts()) {
            assertNotEquals(Action.RETRY_WITHIN_BUDGET, action);
        }
    }

    @Test
    void unsentRequestIsRetriedWithoutUsingTheBudget() {
        Route route = ForwardingSamples.route("/", RequestKind.NON_IDEMPOTENT, 1, List.of());
        assertEquals(
                Action.RETRY_UNBUDGETED,
                RetryPolicy.SAFE.decide(route, AttemptResult.NOT_SENT, 0, 1, ENOUGH_MS));
    }

    @Property(seed = "20261204")
    void requestThatMayHaveBeenExecutedIsNeverReportedAsNotExecuted(
            @ForAll boolean deadlineReached) {
        for (AttemptResult result : List.of(AttemptResult.UNKNOWN, AttemptResult.FAILED)) {
            RejectionReason reason = RetryPolicy.rejectionReason(result, deadlineReached);
            assertEquals(
                    deadlineReached ? RejectionReason.TIMED_OUT : RejectionReason.ANSWER_LOST,
                    reason);
        }
    }
}
