package org.sequoiaspindle.core.protocol.forwarding;

import java.util.OptionalLong;
import org.sequoiaspindle.core.coordination.forwarding.admission.RejectionReason;
import org.sequoiaspindle.core.coordination.forwarding.replica.CrashEvidence;

/**
 * Error response that the system itself sends to a client.
 *
 * <p>The statuses 429 and 503 guarantee that the request was not and will not be executed; 502 and
 * 504 guarantee nothing.
 *
 * @param status HTTP status
 * @param retryAfterMillis delay after which the client should retry, empty if a retry is pointless
 * @param explanation text for the client, such as the limit that was exceeded; may be empty
 */
public record RejectionResponse(int status, OptionalLong retryAfterMillis, String explanation) {

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
            case NO_ROUTE -> withoutRetry(404);
            case UNKNOWN_KEY -> withoutRetry(401);
            case MALFORMED, TOO_MANY_PIECES -> withoutRetry(400);
            case BODY_TOO_LARGE -> withoutRetry(413);
            case NO_REPLICA, STAGE_FAILED, STAGES_TOO_LARGE ->
                    retryAfter(Math.max(REPLICA_RETRY_MS, millisUntilReplica));
            case FULL, TOO_LATE -> retryAfter(Math.max(FULL_RETRY_MS, millisUntilReplica));
            case HARMFUL_PROMPT -> retryAfter(CrashEvidence.TTL_MS);
            case STOPPING -> retryAfter(OTHER_INSTANCE_RETRY_MS);
            case ANSWER_LOST -> withoutRetry(502);
            case TIMED_OUT -> withoutRetry(504);
        };
    }

    /** Returns the response with an explanation. */
    public RejectionResponse explainedBy(String text) {
        return new RejectionResponse(status, retryAfterMillis, text);
    }

    private static RejectionResponse retryAfter(long millis) {
        return new RejectionResponse(503, OptionalLong.of(millis), "");
    }

    private static RejectionResponse withoutRetry(int status) {
        return new RejectionResponse(status, OptionalLong.empty(), "");
    }
}
