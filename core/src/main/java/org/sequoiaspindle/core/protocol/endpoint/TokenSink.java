package org.sequoiaspindle.core.protocol.endpoint;

/** Receives the tokens of a stream in order. */
@FunctionalInterface
public interface TokenSink {

    /** Sink for calls whose tokens nobody wants. */
    TokenSink DISCARD = token -> true;

    /**
     * Takes one token.
     *
     * @return false if the receiver is gone or cannot keep up, so that the call should be cancelled
     */
    boolean accept(Token token);
}
