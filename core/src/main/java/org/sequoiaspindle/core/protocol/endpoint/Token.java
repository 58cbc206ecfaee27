package org.sequoiaspindle.core.protocol.endpoint;

/**
 * One token of a streamed answer.
 *
 * @param position index in the stream, from 0
 * @param text text of the token
 */
public record Token(long position, String text) {}
