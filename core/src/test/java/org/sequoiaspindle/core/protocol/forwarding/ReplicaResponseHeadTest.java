package org.sequoiaspindle.core.protocol.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.admission.AttemptResult;

/** Guards against telling clients that a request was not executed although it may have been. */
final class ReplicaResponseHeadTest {

    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

    @Property(seed = "20261205")
    void statusThatPromisesNoExecutionIsNeverPassedOn(
            @ForAll @IntRange(min = 200, max = 599) int status, @ForAll boolean notExecuted) {
        AttemptResult result = head(status, notExecuted).attemptResult();
        boolean isPassedOn = result == AttemptResult.ANSWERED || result == AttemptResult.FAILED;
        assertFalse(isPassedOn && NOT_EXECUTED_STATUSES.contains(status));
    }

    @Test
    void rejectionWithoutTheReplicasStatementMayHaveBeenExecuted() {
        for (int status : new int[] {408, 429, 503}) {
            assertEquals(AttemptResult.UNKNOWN, head(status, false).attemptResult());
            assertEquals(AttemptResult.NOT_EXECUTED, head(status, true).attemptResult());
        }
        assertEquals(AttemptResult.NOT_EXECUTED, head(421, false).attemptResult());
    }

    @Test
    void otherStatusesAreClassifiedByTheirClass() {
        assertEquals(AttemptResult.INPUTS_GONE, head(409, true).attemptResult());
        assertEquals(AttemptResult.ANSWERED, head(409, false).attemptResult());
        assertEquals(AttemptResult.FAILED, head(500, false).attemptResult());
        assertEquals(AttemptResult.ANSWERED, head(200, true).attemptResult());
    }

    private static ReplicaResponseHead head(int status, boolean notExecuted) {
        return new ReplicaResponseHead(
                status,
                Optional.of("r"),
                true,
                notExecuted,
                Optional.empty(),
                false,
                false,
                OptionalLong.empty());
    }
}
