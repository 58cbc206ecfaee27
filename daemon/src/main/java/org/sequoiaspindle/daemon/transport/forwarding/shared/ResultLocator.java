package org.sequoiaspindle.daemon.transport.forwarding.shared;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.StageCodec;
import org.sequoiaspindle.core.state.forwarding.Replica;

/** Finds the replica that stores a result. Thread-safe. */
public record ResultLocator(StageCodec codec, Registry registry) {

    /**
     * Returns the replica that stores a result, or empty if the replica is not registered any more.
     */
    public Optional<Replica> replicaOf(String handle) {
        return codec.replicaAddress(handle).flatMap(registry.replicas()::replicaAt);
    }

    /** Counts the results stored in each data centre. */
    public Map<String, Long> countByDataCentre(List<String> handles) {
        return handles.stream()
                .map(this::replicaOf)
                .flatMap(Optional::stream)
                .collect(Collectors.groupingBy(Replica::dataCentre, Collectors.counting()));
    }
}
