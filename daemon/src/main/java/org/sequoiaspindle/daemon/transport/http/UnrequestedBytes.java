package org.sequoiaspindle.daemon.transport.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool.Destination;

/**
 * Bytes that a server sent on a connection without a request in progress.
 *
 * @param connection short identifier of the connection
 * @param carriedRequests number of requests that the connection has carried
 * @param head head of the response, empty if the bytes are not the beginning of a response
 */
public record UnrequestedBytes(
        Destination destination,
        String connection,
        int carriedRequests,
        Optional<HttpResponse> head) {}
