package org.sequoiaspindle.core.protocol.request;

import io.vavr.control.Option;

/**
 * A request as a front end received it.
 *
 * @param organisation organisation that the caller claims to belong to
 * @param secret the organisation's secret
 * @param pipeline pipeline to run
 * @param input input of the first stage
 * @param maxTokens bound on the tokens of the answer, at least 1
 * @param deadlineMillis remaining time in milliseconds; the pipeline's own deadline if absent
 * @param idempotencyKey key under which a call that must not be repeated runs at most once
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
