package org.sequoiaspindle.daemon.transport.forwarding.permit;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sequoiaspindle.core.coordination.forwarding.replica.SendRule;
import org.sequoiaspindle.core.protocol.forwarding.PermitIssuer;
import org.sequoiaspindle.core.protocol.forwarding.PrefixView;
import org.sequoiaspindle.core.protocol.forwarding.SendPermits;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Connections of the limit for cold replicas with the other components.
 *
 * @param sendRule states which replicas need permits
 * @param permits supplies permits
 * @param issuer issues permits to other instances
 * @param statements receives for how long a replica states in an answer that it stays cold
 * @param dataCentreRestored receives the name of a data centre that was evacuated and is restored
 * @param views copies of keys that are kept up to date
 * @param start starts to claim roles, once the instance is registered
 * @param release gives up the roles
 */
public record ColdEndpointParts(
        SendRule sendRule,
        SendPermits permits,
        PermitIssuer issuer,
        BiConsumer<ReplicaId, Long> statements,
        Consumer<String> dataCentreRestored,
        List<PrefixView> views,
        Runnable start,
        Runnable release) {

    /** Parts of a deployment that does not limit what cold replicas receive. */
    public static final ColdEndpointParts NONE =
            new ColdEndpointParts(
                    SendRule.UNRESTRICTED,
                    SendPermits.NONE,
                    PermitIssuer.NONE,
                    (replica, millis) -> {},
                    dataCentre -> {},
                    List.of(),
                    () -> {},
                    () -> {});
}
