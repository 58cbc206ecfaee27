package org.sequoiaspindle.daemon.protocol.caller;

import org.sequoiaspindle.core.protocol.request.Reason;

/**
 * Why a front end did not hand a request on.
 *
 * @param status HTTP status
 * @param reason reason in the body
 * @param detail what is wrong and what to do
 */
public record HttpRejection(int status, Reason reason, String detail) {

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORISED = 401;
    private static final int TOO_LARGE = 413;

    static HttpRejection malformed(String detail) {
        return new HttpRejection(BAD_REQUEST, Reason.MALFORMED, detail);
    }

    /** The body is larger than {@link CallerRequestReader#MAX_BODY_BYTES}. */
    public static HttpRejection tooLarge() {
        return new HttpRejection(
                TOO_LARGE,
                Reason.MALFORMED,
                "the body is larger than " + CallerRequestReader.MAX_BODY_BYTES + " bytes");
    }

    static HttpRejection unauthenticated(String detail) {
        return new HttpRejection(UNAUTHORISED, Reason.UNAUTHENTICATED, detail);
    }
}
