package org.sequoiaspindle.daemon.transport.forwarding.shared;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;

/**
 * A complete request of a client.
 *
 * @param body body, owned and released by the request that is being executed
 * @param receivedAt time at which the head was received, in milliseconds
 */
public record ClientRequest(
        HttpRequest head, RequestMetadata metadata, ByteBuf body, long receivedAt) {}
