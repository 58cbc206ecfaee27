package org.sequoiaspindle.daemon.transport.forwarding.shared;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response of a replica.
 *
 * @param body body in a heap buffer, which need not be released
 */
public record BufferedResponse(int status, HttpHeaders fields, ByteBuf body) {}
