package org.sequoiaspindle.core.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.PeerInstance;

/** Guards against instances that disagree on which of them batches the pieces of a service. */
final class BatchingInstanceSelectorTest {

    private static final List<PeerInstance> INSTANCES =
            IntStream.range(0, 6)
                    .mapToObj(n -> new PeerInstance("i" + n, "a", new HostPort("10.0.0.1", n + 1)))
                    .toList();

    @Test
    void ownerDoesNotDependOnTheOrderOfTheList() {
        List<PeerInstance> reversed =
                IntStream.range(0, 6).mapToObj(n -> INSTANCES.get(5 - n)).toList();
        assertEquals(
                BatchingInstanceSelector.select("board", INSTANCES, peer -> true),
                BatchingInstanceSelector.select("board", reversed, peer -> true));
    }

    @Test
    void anotherInstanceTakesOverFromAnUnreachableOwner() {
        PeerInstance owner =
                BatchingInstanceSelector.select("board", INSTANCES, peer -> true).orElseThrow();
        PeerInstance next =
                BatchingInstanceSelector.select("board", INSTANCES, peer -> !peer.equals(owner))
                        .orElseThrow();
        assertNotEquals(owner, next);
    }

    @Test
    void withoutReachableInstancesThereIsNoOwner() {
        assertTrue(BatchingInstanceSelector.select("board", INSTANCES, peer -> false).isEmpty());
    }
}
