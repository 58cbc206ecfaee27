package org.sequoiaspindle.core.protocol.endpoint;

import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * One attempt of one stage of one request.
 *
 * @param requestId request that the attempt belongs to
 * @param organisation organisation on whose behalf it runs
 * @param stage stage that it runs
 * @param attempt number of the attempt within the stage, from 1
 * @param endpoint name of the endpoint
 * @param address {@code ip:port} of the endpoint
 * @param input what the stage works on
 * @param maxTokens bound on the tokens of the answer
 * @param resumeFrom position from which a stream continues, 0 for a new stream
 * @param resumeText text of the tokens before {@code resumeFrom}
 * @param sizeClass predicted size; endpoints that honour priorities run short calls first
 * @param streams whether the answer arrives token by token
 * @param remainingMillis time left until the deadline of the request
 * @param traceParent W3C trace context of the attempt, empty for none
 */
public record EndpointCall(
        RequestId requestId,
        String organisation,
        String stage,
        int attempt,
        String endpoint,
        String address,
        String input,
        int maxTokens,
        long resumeFrom,
        String resumeText,
        SizeClass sizeClass,
        boolean streams,
        long remainingMillis,
        String traceParent) {

    /** The same call to another endpoint. */
    public EndpointCall at(String otherEndpoint, String otherAddress) {
        return new EndpointCall(
                requestId,
                organisation,
                stage,
                attempt,
                otherEndpoint,
                otherAddress,
                input,
                maxTokens,
                resumeFrom,
                resumeText,
                sizeClass,
                streams,
                remainingMillis,
                traceParent);
    }
}
