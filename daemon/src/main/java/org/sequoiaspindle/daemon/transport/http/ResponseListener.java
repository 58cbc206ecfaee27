package org.sequoiaspindle.daemon.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to a request on the event loop of an {@link OutboundConnection}. */
public interface ResponseListener {

    /**
     * Receives the head of a response.
     *
     * @return false if the response belongs to another request; the response is then discarded, and
     *     the next one is read
     */
    boolean head(HttpResponse response);

    /** Receives the next bytes of the body; the buffer is released after the call. */
    void content(ByteBuf bytes);

    /**
     * Returns whether the complete response certainly belongs to the request. If not, the
     * connection is closed, because the response to this request would be taken for that to the
     * next one. Called once, before {@link #end}.
     */
    default boolean isOwnResponse() {
        return true;
    }

    /** Handles the end of a complete response. */
    void end();

    /** Handles a failure of the response. Called at most once, and not after {@link #end}. */
    void failed(String reason);
}
