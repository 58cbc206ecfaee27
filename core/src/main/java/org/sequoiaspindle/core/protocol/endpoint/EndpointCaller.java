package org.sequoiaspindle.core.protocol.endpoint;

/**
 * Sends calls to endpoints. Implementations are thread-safe; the result of an exchange never
 * completes exceptionally.
 */
@FunctionalInterface
public interface EndpointCaller {

    /**
     * Starts a call.
     *
     * @param sink receives the tokens of a streaming stage, in the order of arrival; not called
     *     after the result is complete
     */
    EndpointExchange call(EndpointCall call, TokenSink sink);
}
