package org.sequoiaspindle.core.protocol.forwarding;

import java.util.OptionalLong;
import org.sequoiaspindle.core.coordination.forwarding.CrashEvidence;
import org.sequoiaspindle.core.coordination.forwarding.RejectionReason;

/**
 * Error response that the system itself sends to a client.
 *
 * <p>The statuses 429 and 503 guarantee that the request was not and will not be executed; 502 and
 * 504 guarantee nothing.
 *
 * @param status HTTP status
 * @param retryAfterMillis delay after which the client should retry, empty if a retry is pointless
 */
public record RejectionResponse(int status, OptionalLong retryAfterMillis) {

    /** Retry delay for a service without free slots: about the duration of a request. */
    private static final long FULL_RETRY_MS = 300;

    /** Retry delay until the instance has reached the store again. */
    private static final long STORE_RETRY_MS = 500;

    /** Retry delay if another instance can accept the request immediately. */
    private static final long OTHER_INSTANCE_RETRY_MS = 50;

    /** Retry delay until replicas have registered, or until their ejection has ended. */
    private static final long REPLICA_RETRY_MS = 500;

    /**
     * Returns the response for a reason.
     *
     * @param millisUntilReplica time until a replica of the service accepts requests, as far as the
     *     replicas have stated it; a client that returns earlier would be rejected again
     */
    public static RejectionResponse of(RejectionReason reason, long millisUntilReplica) {
        return switch (reason) {
            case NO_CONFIGURATION, KEYS_UNCONFIRMED -> retryAfter(STORE_RETRY_MS);
            case NO_ROUTE -> new RejectionResponse(404, OptionalLong.empty());
            case UNKNOWN_KEY -> new RejectionResponse(401, OptionalLong.empty());
            case MALFORMED -> new RejectionResponse(400, OptionalLong.empty());
            case BODY_TOO_LARGE -> new RejectionResponse(413, OptionalLong.empty());
            case NO_REPLICA, STAGE_FAILED ->
                    retryAfter(Math.max(REPLICA_RETRY_MS, millisUntilReplica));
            case FULL, TOO_LATE -> retryAfter(Math.max(FULL_RETRY_MS, millisUntilReplica));
            case HARMFUL_PROMPT -> retryAfter(CrashEvidence.TTL_MS);
            case STOPPING -> retryAfter(OTHER_INSTANCE_RETRY_MS);
            case ANSWER_LOST -> new RejectionResponse(502, OptionalLong.empty());
            case TIMED_OUT -> new RejectionResponse(504, OptionalLong.empty());
        };
    }

    private static RejectionResponse retryAfter(long millis) {
        return new RejectionResponse(503, OptionalLong.of(millis));
    }
}
