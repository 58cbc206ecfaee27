package org.sequoiaspindle.daemon.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Takes the answer to one request on an {@link OutboundConnection}, on its event loop. */
public interface ResponseListener {

    /**
     * Takes the head of an answer.
     *
     * @return false if the answer belongs to another request; it is dropped and the next one
     *     awaited
     */
    boolean head(HttpResponse response);

    /** Takes the next bytes of the body; they are released after the call. */
    void content(ByteBuf bytes);

    /** The answer is complete. */
    void end();

    /** The answer will not be complete. Called at most once, and not after {@link #end}. */
    void failed(String reason);
}
