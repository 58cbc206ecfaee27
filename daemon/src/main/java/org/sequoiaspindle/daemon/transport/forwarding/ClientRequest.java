package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;

/**
 * A request of a client, read as a whole.
 *
 * @param body the body; owned by the exchange, which releases it
 * @param receivedAt time at which its head had arrived, in milliseconds
 */
record ClientRequest(HttpRequest head, RequestMetadata metadata, ByteBuf body, long receivedAt) {}
