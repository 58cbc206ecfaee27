package org.sequoiaspindle.core.protocol.endpoint;

/** Receives the tokens of a stream. */
@FunctionalInterface
public interface TokenSink {

    /** Sink that discards all tokens. */
    TokenSink DISCARD = token -> true;

    /**
     * Receives one token.
     *
     * @return true if the receiver accepts further tokens; false if the call should be cancelled,
     *     because the receiver has disconnected or cannot keep up
     */
    boolean accept(Token token);
}
