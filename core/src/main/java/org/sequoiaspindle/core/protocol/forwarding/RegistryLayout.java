package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Keys of the platform's store that instances watch, and decoders for their values.
 *
 * @param configurationKey key of the configuration
 * @param replicaPrefix prefix of the keys of the replicas' registrations
 * @param configurationDecoder decodes a configuration, or returns a description of the error
 * @param replicaDecoder decodes a replica's registration; returns empty if the registration is
 *     invalid
 * @param evacuationPrefix prefix of the keys that evacuate data centres; the rest of a key is the
 *     name of the data centre. Empty if data centres are not evacuated; the keys are not read then.
 */
public record RegistryLayout(
        String configurationKey,
        String replicaPrefix,
        Function<StoreValue, Either<String, ForwardingTable>> configurationDecoder,
        Function<StoreChange.Written, Optional<Replica>> replicaDecoder,
        Optional<String> evacuationPrefix) {

    /** Creates the layout of a deployment that evacuates no data centres. */
    public RegistryLayout(
            String configurationKey,
            String replicaPrefix,
            Function<StoreValue, Either<String, ForwardingTable>> configurationDecoder,
            Function<StoreChange.Written, Optional<Replica>> replicaDecoder) {
        this(
                configurationKey,
                replicaPrefix,
                configurationDecoder,
                replicaDecoder,
                Optional.empty());
    }

    /** Returns whether a key evacuates a data centre. */
    boolean isEvacuationKey(String key) {
        return evacuationPrefix.filter(key::startsWith).isPresent();
    }

    /**
     * Returns a layout that reports each registration when it is read.
     *
     * @param observer receives the replica and the revision of the registration
     */
    public RegistryLayout observedBy(BiConsumer<Replica, Long> observer) {
        return new RegistryLayout(
                configurationKey,
                replicaPrefix,
                configurationDecoder,
                written -> {
                    Optional<Replica> replica = replicaDecoder.apply(written);
                    replica.ifPresent(value -> observer.accept(value, written.revision()));
                    return replica;
                },
                evacuationPrefix);
    }
}
