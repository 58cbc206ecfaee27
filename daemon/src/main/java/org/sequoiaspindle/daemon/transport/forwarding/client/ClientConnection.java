package org.sequoiaspindle.daemon.transport.forwarding.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vavr.collection.LinkedHashMap;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.forwarding.admission.DrainAdmission;
import org.sequoiaspindle.core.state.forwarding.IngressLimits;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.daemon.transport.forwarding.request.ForwardedRequest;
import org.sequoiaspindle.daemon.transport.forwarding.request.RequestBody;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ClientExchange;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ClientRequest;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;
import org.sequoiaspindle.daemon.transport.http.StrictRequestDecoder;

/**
 * A client's connection. Reads complete requests one after the other and writes the responses.
 * Confined to the event loop of the connection.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientExchange {

    /** Time for a client to read the response to an invalid request, in milliseconds. */
    private static final long CLOSE_DELAY_MS = 1_000;

    private static final int REQUEST_TIMEOUT = 408;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final ForwardingContext context;
    private final EventLoopWorker worker;
    private final ClientConnections connections;
    private final RequestBody body;
    private Channel channel;
    private ClientResponseWriter responseWriter;
    private StrictRequestDecoder decoder;
    private PipelinedMessages pipelinedMessages;
    private HttpRequest requestHead;
    private RequestMetadata metadata;
    private ReceiveTimes times;
    private ForwardedRequest activeRequest;
    private boolean closing;

    public ClientConnection(
            ForwardingContext context, EventLoopWorker worker, ClientConnections connections) {
        this.context = context;
        this.worker = worker;
        this.connections = connections;
        this.body = new RequestBody(connections.bodyMemory());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        decoder = channel.pipeline().get(StrictRequestDecoder.class);
        pipelinedMessages = new PipelinedMessages(channel);
        responseWriter =
                new ClientResponseWriter(
                        channel, () -> connections.isDraining() && !hasFurtherRequest());
        times = new ReceiveTimes(context.clock().now());
        connections.add(this);
    }

    /** Records received bytes. The first bytes after a response start a new request head. */
    public void recordBytesReceived() {
        times.recordBytes(activeRequest == null && requestHead == null, context.clock().now());
    }

    /** Closes the connection if the client is too slow or has been idle for too long. */
    void enforceTimeouts(IngressLimits limits) {
        if (activeRequest != null || closing) {
            return;
        }
        long now = context.clock().now();
        if (requestHead != null || times.isWithinHead()) {
            if (times.isTooSlow(requestHead != null, limits, now)) {
                reject(
                        REQUEST_TIMEOUT,
                        "the request was not received within "
                                + limits.headerTimeoutMillis()
                                + " ms");
            }
        } else if (times.isIdleTooLong(limits, now)) {
            channel.close();
        }
    }

    /** Closes the connection unless a request is active or partly received. */
    void closeIfIdle() {
        if (activeRequest == null && !hasFurtherRequest()) {
            channel.close();
        }
    }

    /** Returns whether a request has been read, at least in part, behind the active one. */
    private boolean hasFurtherRequest() {
        return requestHead != null || !pipelinedMessages.isEmpty() || decoder.isWithinRequest();
    }

    /**
     * Ends the active request, or rejects one that is partly received, so that its client gets a
     * response before the process exits.
     */
    void endRequests() {
        if (activeRequest != null) {
            activeRequest.expire();
        } else if (!closing && pipelinedMessages.isEmpty() && hasFurtherRequest()) {
            reject(SERVICE_UNAVAILABLE, "the instance stops");
        }
    }

    @Override
    public boolean isConnected() {
        return channel.isActive();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    Channel channel() {
        return channel;
    }

    @Override
    public boolean isRejectingRequests() {
        return connections.isRejectingRequests();
    }

    @Override
    public DrainAdmission drainAdmission() {
        return connections.drainAdmission();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (activeRequest != null) {
            pipelinedMessages.add(message);
            return;
        }
        handleMessage(message);
    }

    private void handleMessage(Object message) {
        if (message instanceof HttpRequest request) {
            beginRequest(request);
        }
        if (message instanceof HttpContent content) {
            appendContent(content);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    private void beginRequest(HttpRequest request) {
        times.recordHead(context.clock().now());
        Optional<RequestHeadValidator.Rejection> rejection =
                RequestHeadValidator.validate(request, limits());
        if (rejection.isPresent()) {
            reject(rejection.get());
            return;
        }
        Either<String, RequestMetadata> parsedMetadata =
                context.dialect()
                        .requestReader()
                        .read(
                                request.uri(),
                                name -> Optional.ofNullable(request.headers().get(name)));
        if (parsedMetadata.isLeft()) {
            reject(RequestHeadValidator.BAD_REQUEST, parsedMetadata.getLeft());
            return;
        }
        requestHead = request;
        metadata = parsedMetadata.get();
        body.begin();
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void appendContent(HttpContent content) {
        if (requestHead == null || closing) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            reject(RequestHeadValidator.BAD_REQUEST, "the request body is malformed");
            return;
        }
        if (body.length() + content.content().readableBytes() > limits().maxBodyBytes()) {
            content.release();
            reject(RequestHeadValidator.longBody(limits()));
            return;
        }
        if (!body.append(content.content())) {
            reject(
                    SERVICE_UNAVAILABLE,
                    "request bodies in progress exceed "
                            + connections.bodyMemory().limitBytes()
                            + " bytes");
            return;
        }
        if (content instanceof LastHttpContent) {
            ClientRequest request =
                    new ClientRequest(
                            requestHead, metadata, body.complete(), times.headReceivedAt());
            requestHead = null;
            activeRequest = new ForwardedRequest(context, worker, this, request);
            activeRequest.startAfterRead();
        }
    }

    @Override
    public void writeResponse(int status, HttpHeaders fields, ByteBuf content) {
        finishResponse(
                responseWriter.writeComplete(
                        activeRequest.request().head(), status, fields, content));
    }

    @Override
    public void startResponse(int status, HttpHeaders fields) {
        responseWriter.beginStream(activeRequest.request().head(), status, fields);
    }

    @Override
    public void writePart(ByteBuf content) {
        responseWriter.writePart(content);
    }

    @Override
    public void endResponse() {
        finishResponse(responseWriter.endStream(activeRequest.request().head()));
    }

    @Override
    public void abortResponse() {
        activeRequest = null;
        closing = true;
        body.releaseMemory();
        channel.close();
    }

    private void finishResponse(boolean close) {
        activeRequest = null;
        body.releaseMemory();
        boolean withinRequest = pipelinedMessages.isEmpty() && decoder.isWithinRequest();
        times.recordResponse(!close && withinRequest, context.clock().now());
        if (close) {
            closing = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            pipelinedMessages.discard();
            return;
        }
        // A separate task prevents deep recursion when many requests are pipelined.
        if (!pipelinedMessages.isEmpty()) {
            worker.loop().execute(this::processPipelined);
        }
    }

    private void processPipelined() {
        while (activeRequest == null && !closing && !pipelinedMessages.isEmpty()) {
            handleMessage(pipelinedMessages.poll());
        }
        pipelinedMessages.resumeReading();
    }

    private void reject(RequestHeadValidator.Rejection rejection) {
        reject(rejection.status(), rejection.explanation());
    }

    /** Rejects an invalid request and closes the connection, whose framing is then unknown. */
    private void reject(int status, String explanation) {
        closing = true;
        context.metrics().recordRejection(status);
        context.events()
                .record(
                        LogEvent.REQUEST_REJECTED,
                        LinkedHashMap.of("status", status, "reason", explanation));
        responseWriter
                .writeRejection(status, explanation)
                .addListener(written -> closeAfterDelay());
        requestHead = null;
        body.release();
    }

    /**
     * Closes the connection after a delay. Closing it at once while the client is still sending
     * would reset the connection, and the client would not receive the response.
     */
    private void closeAfterDelay() {
        ((DuplexChannel) channel).shutdownOutput();
        worker.loop().schedule(() -> channel.close(), CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (activeRequest != null) {
            activeRequest.clientWritabilityChanged(channel.isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connections.remove(this);
        requestHead = null;
        body.release();
        pipelinedMessages.discard();
        if (activeRequest != null) {
            ForwardedRequest abandonedRequest = activeRequest;
            activeRequest = null;
            abandonedRequest.clientDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        channel.close();
    }

    private IngressLimits limits() {
        return context.registry().configuration().limits();
    }
}
