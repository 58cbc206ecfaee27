package org.sequoiaspindle.core.protocol.forwarding;

import java.util.Optional;
import org.sequoiaspindle.core.state.forwarding.ReplicaLoad;

/**
 * Head of a replica's response.
 *
 * @param requestId identifier of the request, empty if the head contains none
 * @param sealed whether the response carries the replica's signature
 * @param notExecuted whether the replica states that it did not execute the request
 * @param load load of the replica
 * @param contentEncoded whether the body has a content encoding, which clients never request
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
