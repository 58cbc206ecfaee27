package org.sequoiaspindle.core.state;

/**
 * One step of a pipeline.
 *
 * @param name unique name
 * @param endpointGroup group that executes the stage unless a routing rule applies
 * @param idempotent whether a call of the stage may be repeated
 * @param streams whether the answer is streamed token by token
 * @param expectedMs expected service time of a call in milliseconds, 1 to 3600000
 * @param longOverTokens number of tokens above which a call counts as long, 1 to 10000000
 */
public record Stage(
        String name,
        String endpointGroup,
        boolean idempotent,
        boolean streams,
        int expectedMs,
        int longOverTokens)
        implements NamedObject {}
