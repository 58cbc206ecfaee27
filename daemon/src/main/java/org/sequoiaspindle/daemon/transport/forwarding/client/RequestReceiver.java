package org.sequoiaspindle.daemon.transport.forwarding.client;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.vavr.control.Either;
import java.util.Optional;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryKind;
import org.sequoiaspindle.core.state.forwarding.IngressLimits;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.daemon.transport.forwarding.client.RequestHeadValidator.Rejection;
import org.sequoiaspindle.daemon.transport.forwarding.request.RequestBody;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ClientRequest;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ConnectionMemory;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;

/**
 * Receives one request after the other, within the limits of the configuration and the memory of
 * the process. Confined to the event loop of the connection.
 */
final class RequestReceiver {

    private static final Rejection TOO_LITTLE_MEMORY =
            new Rejection(503, "the instance has too little memory left for the request");

    private final ForwardingContext context;
    private final ConnectionMemory memory;
    private final RequestBody body;
    private HttpRequest head;
    private RequestMetadata metadata;

    RequestReceiver(ForwardingContext context, ConnectionMemory memory) {
        this.context = context;
        this.memory = memory;
        this.body = new RequestBody(memory);
    }

    /** Returns whether a head has been received, but not the end of its body. */
    boolean isWithinBody() {
        return head != null;
    }

    Rejection lackOfMemory() {
        return TOO_LITTLE_MEMORY;
    }

    /** Reserves memory for the decoding of a part of a head. */
    Optional<Rejection> receivePart(ByteBuf bytes) {
        long cost = HeadCost.ofPart(bytes, limits().maxHeaderBytes());
        return memory.reserve(MemoryKind.HEADS, cost)
                ? Optional.empty()
                : Optional.of(TOO_LITTLE_MEMORY);
    }

    /** Begins a request, or returns why it is rejected. */
    Optional<Rejection> begin(HttpRequest request) {
        Optional<Rejection> rejection = RequestHeadValidator.validate(request, limits());
        if (rejection.isPresent()) {
            return rejection;
        }
        Either<String, RequestMetadata> parsedMetadata =
                context.dialect()
                        .requestReader()
                        .read(
                                request.uri(),
                                name -> Optional.ofNullable(request.headers().get(name)));
        if (parsedMetadata.isLeft()) {
            return Optional.of(
                    new Rejection(RequestHeadValidator.BAD_REQUEST, parsedMetadata.getLeft()));
        }
        memory.releaseAll(MemoryKind.HEADS);
        if (!memory.reserve(MemoryKind.HEADS, HeadCost.of(request))) {
            return Optional.of(TOO_LITTLE_MEMORY);
        }
        head = request;
        metadata = parsedMetadata.get();
        body.begin();
        return Optional.empty();
    }

    /**
     * Takes over a part of the body.
     *
     * @return the request if it is complete, or why it is rejected
     */
    Either<Rejection, Optional<ClientRequest>> append(HttpContent content, long headReceivedAt) {
        if (content.decoderResult().isFailure()) {
            content.release();
            return Either.left(
                    new Rejection(
                            RequestHeadValidator.BAD_REQUEST, "the request body is malformed"));
        }
        if (body.length() + content.content().readableBytes() > limits().maxBodyBytes()) {
            content.release();
            return Either.left(RequestHeadValidator.longBody(limits()));
        }
        if (!body.append(content.content())) {
            return Either.left(TOO_LITTLE_MEMORY);
        }
        if (!(content instanceof LastHttpContent)) {
            return Either.right(Optional.empty());
        }
        ClientRequest request = new ClientRequest(head, metadata, body.complete(), headReceivedAt);
        head = null;
        return Either.right(Optional.of(request));
    }

    /** Gives up a request that is not complete, and the memory of all requests. */
    void discard() {
        head = null;
        memory.releaseAll(MemoryKind.HEADS);
        body.release();
    }

    /** Releases the memory of the request that has been answered. */
    void releaseMemory() {
        memory.releaseAll(MemoryKind.HEADS);
        body.releaseMemory();
    }

    private IngressLimits limits() {
        return context.registry().configuration().limits();
    }
}
