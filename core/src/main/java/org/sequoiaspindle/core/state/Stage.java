package org.sequoiaspindle.core.state;

/**
 * One step of a pipeline.
 *
 * @param name unique name
 * @param endpointGroup group that runs it unless a routing rule says otherwise
 * @param idempotent whether a call may be repeated
 * @param streams whether the answer arrives token by token
 * @param expectedMs ordinary service time in milliseconds, 1 to 3600000
 * @param longOverTokens a call of more tokens than this counts as long, 1 to 10000000
 */
public record Stage(
        String name,
        String endpointGroup,
        boolean idempotent,
        boolean streams,
        int expectedMs,
        int longOverTokens)
        implements NamedObject {}
