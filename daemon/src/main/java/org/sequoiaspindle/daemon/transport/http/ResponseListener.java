package org.sequoiaspindle.daemon.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to a request on an {@link OutboundConnection}, on its event loop. */
public interface ResponseListener {

    /**
     * Receives the head of a response.
     *
     * @return false if the response belongs to another request; it is then discarded, and the next
     *     response is read
     */
    boolean head(HttpResponse response);

    /** Receives the next bytes of the body; the buffer is released after the call. */
    void content(ByteBuf bytes);

    /** Called when the response is complete. */
    void end();

    /**
     * Called if the response cannot be completed. Called at most once, and not after {@link #end}.
     */
    void failed(String reason);
}
