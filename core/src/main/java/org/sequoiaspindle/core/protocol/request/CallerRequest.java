package org.sequoiaspindle.core.protocol.request;

import io.vavr.control.Option;

/**
 * A request as received by a front end.
 *
 * @param organisation organisation claimed by the caller, not yet authenticated
 * @param secret the organisation's secret
 * @param pipeline pipeline to run
 * @param input input of the first stage
 * @param maxTokens maximum number of tokens in the answer, at least 1
 * @param deadlineMillis time left until the deadline, in milliseconds; if absent, the deadline of
 *     the pipeline applies
 * @param idempotencyKey key under which a request with a non-idempotent stage runs at most once
 * @param traceParent W3C trace context of the caller, empty for none
 */
public record CallerRequest(
        String organisation,
        String secret,
        String pipeline,
        String input,
        int maxTokens,
        Option<Long> deadlineMillis,
        Option<String> idempotencyKey,
        String traceParent) {

    /** Omits the secret and the input, which must not reach logs. */
    @Override
    public String toString() {
        return "CallerRequest[organisation=" + organisation + ", pipeline=" + pipeline + "]";
    }
}
