package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Function;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Where the platform's store holds what instances follow, and how its values are read.
 *
 * @param configurationKey key of the configuration
 * @param replicaPrefix prefix of the keys under which replicas register
 * @param configurationDecoder reads a configuration, or says why it cannot be read
 * @param replicaDecoder reads the entry of a replica; empty if the entry names none that can be
 *     used
 */
public record RegistryLayout(
        String configurationKey,
        String replicaPrefix,
        Function<StoreValue, Either<String, ForwardingTable>> configurationDecoder,
        Function<StoreChange.Written, Optional<Replica>> replicaDecoder) {}
