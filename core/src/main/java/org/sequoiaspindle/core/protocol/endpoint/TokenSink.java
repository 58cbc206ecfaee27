package org.sequoiaspindle.core.protocol.endpoint;

/** Receives the tokens of a stream. */
@FunctionalInterface
public interface TokenSink {

    /** Sink that discards all tokens. */
    TokenSink DISCARD = token -> true;

    /**
     * Receives one token.
     *
     * @return false if the receiver has gone away or cannot keep up and the call should be
     *     cancelled
     */
    boolean accept(Token token);
}
