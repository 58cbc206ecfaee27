package org.sequoiaspindle.core.protocol.forwarding;

import java.util.List;
import java.util.Optional;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Information that the system adds to a client's request for a replica.
 *
 * @param remainingMillis time until the deadline of the request
 * @param organisation organisation of the caller, empty on a public route
 * @param urgency priority from 0, the highest, to 9; empty for the replica's default
 * @param inputHandles handles of the stage results that the request reads
 * @param lastEventId event after which a stream resumes, empty for a new stream
 */
public record ReplicaRequestContext(
        Replica replica,
        long remainingMillis,
        Optional<String> organisation,
        Optional<Integer> urgency,
        List<String> inputHandles,
        Optional<String> lastEventId) {}
