package org.sequoiaspindle.core.protocol.endpoint;

/**
 * Sends calls to endpoints. Implementations are thread-safe. The result of a call never completes
 * exceptionally.
 */
@FunctionalInterface
public interface EndpointCaller {

    /**
     * Starts a call.
     *
     * @param sink receives the tokens of a streaming stage, in the order of arrival; never called
     *     after the result has completed
     */
    EndpointExchange call(EndpointCall call, TokenSink sink);
}
