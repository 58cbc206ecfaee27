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
 */
public record RegistryLayout(
        String configurationKey,
        String replicaPrefix,
        Function<StoreValue, Either<String, ForwardingTable>> configurationDecoder,
        Function<StoreChange.Written, Optional<Replica>> replicaDecoder) {

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
                });
    }
}
