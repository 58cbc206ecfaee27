package org.sequoiaspindle.daemon.transport.forwarding.shared;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.sequoiaspindle.core.coordination.forwarding.admission.DrainAdmission;

/**
 * The client's side of one request: takes the response and tells whether the client is still there.
 * Confined to the event loop of the client's connection.
 */
public interface ClientExchange {

    /** Returns whether the client's connection is open. */
    boolean isConnected();

    /** Returns whether the client takes more bytes without buffering them. */
    boolean isWritable();

    /** Reserves memory for a response that is collected; returns false if there is too little. */
    boolean reserveForResponse(long bytes);

    /** Releases memory that was reserved for a response. */
    void releaseForResponse(long bytes);

    /** Returns whether a drain has gone too far for a new request. */
    boolean isRejectingRequests();

    /** Returns which requests may be executed during a drain of the instance. */
    DrainAdmission drainAdmission();

    /** Writes a complete response and proceeds to the next request. */
    void writeResponse(int status, HttpHeaders fields, ByteBuf content);

    /** Starts a response of unknown length. */
    void startResponse(int status, HttpHeaders fields);

    /** Writes a part of the started response. */
    void writePart(ByteBuf content);

    /** Completes the started response. */
    void endResponse();

    /** Closes the connection, so that the started response does not look complete. */
    void abortResponse();
}
