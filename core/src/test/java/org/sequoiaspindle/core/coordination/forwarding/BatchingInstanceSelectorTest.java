package org.sequoiaspindle.core.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;

/** Guards against instances that disagree on which of them batches the pieces of a service. */
final class BatchingInstanceSelectorTest {

    private static final List<InstanceEntry> INSTANCES =
            IntStream.range(0, 6)
                    .mapToObj(n -> new InstanceEntry("i" + n, "a", new HostPort("10.0.0.1", n + 1)))
                    .toList();

    @Test
    void selectionDoesNotDependOnTheOrderOfTheInstances() {
        List<InstanceEntry> reversedInstances =
                IntStream.range(0, 6).mapToObj(n -> INSTANCES.get(5 - n)).toList();
        assertEquals(
                BatchingInstanceSelector.select("board", INSTANCES, peer -> true),
                BatchingInstanceSelector.select("board", reversedInstances, peer -> true));
    }

    @Test
    void anotherInstanceIsSelectedIfTheFirstIsUnreachable() {
        InstanceEntry firstInstance =
                BatchingInstanceSelector.select("board", INSTANCES, peer -> true).orElseThrow();
        InstanceEntry secondInstance =
                BatchingInstanceSelector.select(
                                "board", INSTANCES, peer -> !peer.equals(firstInstance))
                        .orElseThrow();
        assertNotEquals(firstInstance, secondInstance);
    }

    @Test
    void noInstanceIsSelectedIfNoneIsReachable() {
        assertTrue(BatchingInstanceSelector.select("board", INSTANCES, peer -> false).isEmpty());
    }
}
