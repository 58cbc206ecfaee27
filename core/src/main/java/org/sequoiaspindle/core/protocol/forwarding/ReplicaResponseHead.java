package org.sequoiaspindle.core.protocol.forwarding;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.sequoiaspindle.core.coordination.forwarding.admission.AttemptResult;
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
 * @param coldMillis time for which the replica states that it stays cold, 0 if it states none
 */
public record ReplicaResponseHead(
        int status,
        Optional<String> requestId,
        boolean sealed,
        boolean notExecuted,
        Optional<ReplicaLoad> load,
        boolean contentEncoded,
        boolean leaving,
        OptionalLong retryAfterMillis,
        long coldMillis) {

    /** Creates the head of a response in which the replica does not state that it is cold. */
    public ReplicaResponseHead(
            int status,
            Optional<String> requestId,
            boolean sealed,
            boolean notExecuted,
            Optional<ReplicaLoad> load,
            boolean contentEncoded,
            boolean leaving,
            OptionalLong retryAfterMillis) {
        this(
                status,
                requestId,
                sealed,
                notExecuted,
                load,
                contentEncoded,
                leaving,
                retryAfterMillis,
                0);
    }

    private static final int SUCCESS = 200;
    private static final int REDIRECTION = 300;
    private static final int CONFLICT = 409;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Statuses from which clients conclude that the request was not and will not be executed. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES =
            Set.of(408, MISDIRECTED_REQUEST, 429, SERVICE_UNAVAILABLE);

    public boolean isSuccess() {
        return status >= SUCCESS && status < REDIRECTION;
    }

    public boolean isServerError() {
        return status >= SERVER_ERROR;
    }

    /** Returns whether the request named another process than the one that answered. */
    public boolean isMisdirected() {
        return status == MISDIRECTED_REQUEST;
    }

    /**
     * Returns the result of the attempt that ends with this response. A replica may have executed a
     * request that it rejects without stating the contrary, so such a rejection is not passed on:
     * clients would conclude from its status that the request was not executed.
     */
    public AttemptResult attemptResult() {
        if (isSuccess()) {
            return AttemptResult.ANSWERED;
        }
        if (notExecuted) {
            return status == CONFLICT ? AttemptResult.INPUTS_GONE : AttemptResult.NOT_EXECUTED;
        }
        if (isMisdirected()) {
            return AttemptResult.NOT_EXECUTED;
        }
        if (NOT_EXECUTED_STATUSES.contains(status)) {
            return AttemptResult.UNKNOWN;
        }
        return isServerError() ? AttemptResult.FAILED : AttemptResult.ANSWERED;
    }

    /** Returns the pause that the replica asks for when it turns a request away. */
    public OptionalLong pauseMillis() {
        return status == SERVICE_UNAVAILABLE ? retryAfterMillis : OptionalLong.empty();
    }
}
