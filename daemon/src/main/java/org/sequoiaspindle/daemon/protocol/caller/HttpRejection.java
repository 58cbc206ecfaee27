package org.sequoiaspindle.daemon.protocol.caller;

import org.sequoiaspindle.core.protocol.request.OutcomeReason;

/**
 * Reason why the HTTP front end rejected a request without passing it to the request handler.
 *
 * @param status HTTP status
 * @param reason reason in the body of the response
 * @param detail what is wrong and how to correct it
 */
public record HttpRejection(int status, OutcomeReason reason, String detail) {

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORISED = 401;
    private static final int TOO_LARGE = 413;

    static HttpRejection malformed(String detail) {
        return new HttpRejection(BAD_REQUEST, OutcomeReason.MALFORMED, detail);
    }

    /**
     * Returns the rejection of a body that is larger than {@link
     * CallerRequestReader#MAX_BODY_BYTES}.
     */
    public static HttpRejection tooLarge() {
        return new HttpRejection(
                TOO_LARGE,
                OutcomeReason.MALFORMED,
                "the body is larger than " + CallerRequestReader.MAX_BODY_BYTES + " bytes");
    }

    static HttpRejection unauthenticated(String detail) {
        return new HttpRejection(UNAUTHORISED, OutcomeReason.UNAUTHENTICATED, detail);
    }
}
