package org.sequoiaspindle.core.protocol.forwarding;

import java.util.OptionalLong;
import org.sequoiaspindle.core.coordination.forwarding.RejectionReason;

/**
 * How a client is told that the system itself ended its request.
 *
 * <p>The statuses 429 and 503 promise that the request has not run and will not; 502 and 504
 * promise nothing.
 *
 * @param status HTTP status
 * @param retryAfterMillis when the client should come back, empty if that is of no use
 */
public record RejectionResponse(int status, OptionalLong retryAfterMillis) {

    /** A full service has free slots again after about one request, in milliseconds. */
    private static final long FULL_MS = 300;

    /** Time within which an instance gains a configuration or its keys again, in milliseconds. */
    private static final long CONTACT_MS = 500;

    /** Another instance takes the request at once, in milliseconds. */
    private static final long ELSEWHERE_MS = 50;

    /** Time for replicas to register or to be trusted again, in milliseconds. */
    private static final long REPLICA_MS = 500;

    public static RejectionResponse of(RejectionReason refusal) {
        return switch (refusal) {
            case NO_CONFIGURATION, KEYS_UNCONFIRMED -> later(CONTACT_MS);
            case NO_ROUTE -> new RejectionResponse(404, OptionalLong.empty());
            case UNKNOWN_KEY -> new RejectionResponse(401, OptionalLong.empty());
            case MALFORMED -> new RejectionResponse(400, OptionalLong.empty());
            case BODY_TOO_LARGE -> new RejectionResponse(413, OptionalLong.empty());
            case NO_REPLICA, STAGE_FAILED -> later(REPLICA_MS);
            case FULL, TOO_LATE -> later(FULL_MS);
            case STOPPING -> later(ELSEWHERE_MS);
            case ANSWER_LOST -> new RejectionResponse(502, OptionalLong.empty());
            case TIMED_OUT -> new RejectionResponse(504, OptionalLong.empty());
        };
    }

    private static RejectionResponse later(long millis) {
        return new RejectionResponse(503, OptionalLong.of(millis));
    }
}
