package org.sequoiaspindle.core.protocol.forwarding;

import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiaspindle.core.state.forwarding.ReplicaLoad;

/**
 * Head of a replica's response.
 *
 * @param requestId identifier of the request, empty if the head contains none
 * @param sealed whether the response carries the replica's signature
 * @param notExecuted whether the replica states that it did not execute the request
 * @param load load of the replica
 * @param contentEncoded whether the body has a content encoding, which clients never request
 * @param leaving whether the replica announces its shutdown
 * @param retryAfterMillis time for which the replica asks not to receive requests, empty if it does
 *     not state any
 */
public record ReplicaResponseHead(
        int status,
        Optional<String> requestId,
        boolean sealed,
        boolean notExecuted,
        Optional<ReplicaLoad> load,
        boolean contentEncoded,
        boolean leaving,
        OptionalLong retryAfterMillis) {

    private static final int SUCCESS = 200;
    private static final int REDIRECTION = 300;
    private static final int SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    public boolean isSuccess() {
        return status >= SUCCESS && status < REDIRECTION;
    }

    public boolean isServerError() {
        return status >= SERVER_ERROR;
    }

    /** Returns the pause that the replica asks for when it turns a request away. */
    public OptionalLong pauseMillis() {
        return status == SERVICE_UNAVAILABLE ? retryAfterMillis : OptionalLong.empty();
    }
}
