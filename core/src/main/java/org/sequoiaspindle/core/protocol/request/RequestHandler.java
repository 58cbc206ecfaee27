package org.sequoiaspindle.core.protocol.request;

import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;

/**
 * Entry point for requests of callers, shared by the front ends of all protocols. Thread-safe; the
 * returned future never completes exceptionally.
 */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Runs a request to its end.
     *
     * @param sink receives the tokens of the last stage if the stage streams; a sink that returns
     *     false cancels the request
     */
    CompletionStage<Answer> handle(CallerRequest request, TokenSink sink);
}
