package org.sequoiaspindle.core.coordination.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;

/** Guards against instances that disagree on which of them batches the pieces of a service. */
final class BatchingInstanceSelectorTest {

    private static final List<InstanceEntry> INSTANCES =
            IntStream.range(0, 6).mapToObj(n -> instance(n, 100)).toList();

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

    /** Guards against one weak instance that slows down the stages of all requests. */
    @Test
    void instanceWithMuchLessProcessorTimeThanOthersIsNotSelected() {
        List<InstanceEntry> unequal =
                IntStream.range(0, 40).mapToObj(n -> instance(n, n % 4 == 0 ? 150 : 36)).toList();
        Set<String> selected = new HashSet<>();
        for (int service = 0; service < 30; service++) {
            InstanceEntry instance =
                    BatchingInstanceSelector.select("s" + service, unequal, peer -> true)
                            .orElseThrow();
            assertEquals(150, instance.processorPercent());
            selected.add(instance.name());
        }
        assertTrue(selected.size() > 5, selected.toString());
    }

    @Test
    void weakInstanceIsSelectedIfNoStrongerOneIsReachable() {
        List<InstanceEntry> unequal = List.of(instance(0, 150), instance(1, 36));
        assertEquals(
                "i1",
                BatchingInstanceSelector.select(
                                "board", unequal, peer -> peer.processorPercent() < 100)
                        .orElseThrow()
                        .name());
    }

    private static InstanceEntry instance(int number, int processorPercent) {
        return new InstanceEntry(
                "i" + number,
                "a",
                new HostPort("10.0.0.1", number + 1),
                Optional.empty(),
                processorPercent);
    }

    @Test
    void noInstanceIsSelectedIfNoneIsReachable() {
        assertTrue(BatchingInstanceSelector.select("board", INSTANCES, peer -> false).isEmpty());
    }
}
