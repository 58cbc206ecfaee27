package org.sequoiaspindle.core.protocol.forwarding;

import java.util.Optional;
import org.sequoiaspindle.core.state.forwarding.ReplicaLoad;

/**
 * What the head of a replica's answer says.
 *
 * @param requestId request that it answers, empty if it does not say
 * @param sealed whether it bears the replica's signature
 * @param notExecuted whether the replica states that it did not run the request
 * @param load load of the replica
 * @param contentEncoded whether the body is encoded, which no client has asked for
 */
public record ReplicaResponseHead(
        int status,
        Optional<String> requestId,
        boolean sealed,
        boolean notExecuted,
        Optional<ReplicaLoad> load,
        boolean contentEncoded) {

    private static final int SUCCESS = 200;
    private static final int REDIRECTION = 300;
    private static final int SERVER_ERROR = 500;

    public boolean isSuccess() {
        return status >= SUCCESS && status < REDIRECTION;
    }

    public boolean isServerError() {
        return status >= SERVER_ERROR;
    }
}
