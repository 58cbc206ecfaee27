package org.sequoiaspindle.core.protocol.forwarding;

import java.util.List;
import java.util.Optional;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * What the system tells a replica beside the client's own request.
 *
 * @param remainingMillis time after which the answer is of no use
 * @param organisation organisation of the caller, empty on a route open to all
 * @param urgency 0 is first, 9 last; empty for the replica's default
 * @param inputHandles handles of the results that the request takes
 * @param lastEventId event after which a stream goes on, empty to start it
 */
public record ReplicaRequestContext(
        Replica replica,
        long remainingMillis,
        Optional<String> organisation,
        Optional<Integer> urgency,
        List<String> inputHandles,
        Optional<String> lastEventId) {}
