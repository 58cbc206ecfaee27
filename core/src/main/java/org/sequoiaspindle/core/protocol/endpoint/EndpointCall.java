package org.sequoiaspindle.core.protocol.endpoint;

import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * One attempt of one stage of one request.
 *
 * @param requestId identifier of the request
 * @param organisation name of the organisation that sent the request
 * @param stage name of the stage
 * @param attempt number of the attempt within the stage, from 1
 * @param endpoint name of the endpoint
 * @param address {@code ip:port} of the endpoint
 * @param input input of the stage
 * @param maxTokens maximum number of tokens in the answer
 * @param resumeFrom position at which a stream resumes, 0 for a new stream
 * @param resumeText text of the tokens before {@code resumeFrom}
 * @param sizeClass predicted size class; endpoints that support priorities run short calls first
 * @param streams whether the answer arrives token by token
 * @param remainingMillis time left until the deadline of the request, in milliseconds
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

    /** Returns a copy of this call for another endpoint. */
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
