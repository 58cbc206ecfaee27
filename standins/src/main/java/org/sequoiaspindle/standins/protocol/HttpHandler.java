package org.sequoiaspindle.standins.protocol;

/** Serves requests. It must not block; it may answer later and from any thread. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Serves one request.
     *
     * @throws IllegalArgumentException if the request is malformed; it is answered with 400
     */
    void handle(HttpCall call, Exchange exchange);
}
