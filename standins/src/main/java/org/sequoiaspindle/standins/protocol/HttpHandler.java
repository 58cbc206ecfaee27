package org.sequoiaspindle.standins.protocol;

/**
 * Serves HTTP requests. Implementations must not block; they may send the response later and from
 * any thread.
 */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Serves one request.
     *
     * @throws IllegalArgumentException if the request is malformed; the client then gets status 400
     */
    void handle(FullRequest request, HttpResponder responder);
}
