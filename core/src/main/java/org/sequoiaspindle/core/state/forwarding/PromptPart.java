package org.sequoiaspindle.core.state.forwarding;

/**
 * A part of a prompt, which other requests may share.
 *
 * @param id identifier of the part
 * @param tokens length in tokens
 */
public record PromptPart(String id, long tokens) {}
