package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer of a replica.
 *
 * @param body on the heap, so that it needs no release
 */
record BufferedResponse(int status, HttpHeaders fields, ByteBuf body) {}
