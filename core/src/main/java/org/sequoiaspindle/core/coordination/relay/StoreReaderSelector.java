package org.sequoiaspindle.core.coordination.relay;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;

/**
 * Selects the instances through which an instance reads the platform's store, so that the number of
 * store calls depends on the number of data centres and not on the number of instances. All
 * instances of a data centre rank each other in the same order by rendezvous hashing; while their
 * lists differ, more instances than necessary read the store, which only costs calls.
 */
public final class StoreReaderSelector {

    private static final String RANKING = "store-reader";

    private static final Comparator<InstanceEntry> BY_RANK =
            (a, b) -> Long.compareUnsigned(rank(b), rank(a));

    private StoreReaderSelector() {}

    /**
     * Returns the instances that precede an instance in the ranking of its data centre, the best
     * first. The instance itself reads the store if none of them can.
     *
     * @param instanceName name of the instance that needs to read
     * @param instances registered instances of all data centres
     * @return empty if the instance is first in its data centre or not registered yet
     */
    public static List<InstanceEntry> readersBefore(
            String instanceName, Collection<InstanceEntry> instances) {
        return instances.stream()
                .filter(entry -> entry.name().equals(instanceName))
                .findFirst()
                .map(self -> readersBefore(self, instances))
                .orElse(List.of());
    }

    private static List<InstanceEntry> readersBefore(
            InstanceEntry self, Collection<InstanceEntry> instances) {
        return instances.stream()
                .filter(entry -> entry.dataCentre().equals(self.dataCentre()))
                .filter(entry -> entry.relayAddress().isPresent())
                .filter(entry -> BY_RANK.compare(entry, self) < 0)
                .sorted(BY_RANK)
                .toList();
    }

    private static long rank(InstanceEntry instance) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(RANKING)
                .putString(instance.name())
                .getAsLong();
    }
}
