package org.sequoiaspindle.core.protocol.endpoint;

import io.vavr.control.Option;
import org.sequoiaspindle.core.state.RequestId;

/** Result of one attempt, classified by whether the endpoint executed the call. */
public sealed interface CallResult {

    /** Returns the load that the endpoint reported with the response, if any. */
    default Option<EndpointLoadReport> load() {
        return Option.none();
    }

    /**
     * The endpoint returned a complete answer.
     *
     * @param requestId identifier of the answered request, as reported by the endpoint
     * @param attempt number of the answered attempt, as reported by the endpoint
     * @param output output of a stage that does not stream, empty for a streaming stage
     * @param tokens total number of tokens of a stream, counted from position 0
     */
    record Completed(
            RequestId requestId,
            int attempt,
            String output,
            long tokens,
            Option<EndpointLoadReport> load)
            implements CallResult {}

    /** No byte of the call left this process, so the endpoint did not run it. */
    record NotSent(String reason) implements CallResult {}

    /** The endpoint refused the call before executing it. */
    record Refused(String reason, Option<EndpointLoadReport> load) implements CallResult {}

    /** The endpoint executed the call and reported an error. */
    record Failed(String reason, Option<EndpointLoadReport> load) implements CallResult {}

    /**
     * No result arrived, although part of the call may have reached the endpoint. The endpoint may
     * or may not have executed the call.
     */
    record Unknown(String reason) implements CallResult {}

    /** Returns true if this result proves that the endpoint did not execute the call. */
    default boolean provablyNotRun() {
        return this instanceof NotSent || this instanceof Refused;
    }
}
