package org.sequoiaspindle.core.coordination.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;

/** Guards against store calls that grow with the number of instances. */
final class StoreReaderSelectorTest {

    private static final HostPort ADDRESS = new HostPort("10.0.0.1", 7000);

    private final List<InstanceEntry> instances = new ArrayList<>();

    @Test
    void oneInstanceOfEachDataCentreReadsTheStoreItself() {
        for (int number = 0; number < 340; number++) {
            add("instance-" + number, "dc-" + number % 18, Optional.of(ADDRESS));
        }
        long readers =
                instances.stream()
                        .filter(
                                entry ->
                                        StoreReaderSelector.readersBefore(entry.name(), instances)
                                                .isEmpty())
                        .count();
        assertEquals(18, readers);
    }

    @Test
    void allInstancesOfADataCentreReadThroughTheSameInstance() {
        for (int number = 0; number < 20; number++) {
            add("instance-" + number, "a", Optional.of(ADDRESS));
        }
        long firstReaders =
                instances.stream()
                        .map(entry -> StoreReaderSelector.readersBefore(entry.name(), instances))
                        .filter(readers -> !readers.isEmpty())
                        .map(readers -> readers.get(0))
                        .distinct()
                        .count();
        assertEquals(1, firstReaders);
    }

    @Test
    void instanceThatIsNotRegisteredYetReadsTheStoreItself() {
        add("other", "a", Optional.of(ADDRESS));
        assertTrue(StoreReaderSelector.readersBefore("self", instances).isEmpty());
    }

    @Test
    void instanceOfAnEarlierVersionIsNoReader() {
        for (int number = 0; number < 20; number++) {
            add("old-" + number, "a", Optional.empty());
        }
        add("self", "a", Optional.of(ADDRESS));
        assertTrue(StoreReaderSelector.readersBefore("self", instances).isEmpty());
    }

    private void add(String name, String dataCentre, Optional<HostPort> relayAddress) {
        instances.add(new InstanceEntry(name, dataCentre, ADDRESS, relayAddress));
    }
}
