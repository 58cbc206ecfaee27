package org.sequoiaspindle.daemon.transport.forwarding.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.vavr.collection.LinkedHashMap;
import io.vavr.control.Either;
import java.util.Optional;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.forwarding.admission.DrainAdmission;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryKind;
import org.sequoiaspindle.core.state.forwarding.IngressLimits;
import org.sequoiaspindle.daemon.transport.forwarding.request.ForwardedRequest;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ClientExchange;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ClientRequest;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ConnectionMemory;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;
import org.sequoiaspindle.daemon.transport.http.StrictRequestDecoder;

/**
 * A client's connection. Reads complete requests one after the other and writes the responses.
 * Confined to the event loop of the connection.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientExchange {

    private static final int REQUEST_TIMEOUT = 408;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final ForwardingContext context;
    private final EventLoopWorker worker;
    private final ClientConnections connections;
    private Channel channel;
    private ConnectionMemory memory;
    private RequestReceiver receiver;
    private UnreadAnswers unread;
    private ClientResponseWriter responseWriter;
    private StrictRequestDecoder decoder;
    private PipelinedMessages pipelinedMessages;
    private ReceiveTimes times;
    private ForwardedRequest activeRequest;
    private boolean closing;

    public ClientConnection(
            ForwardingContext context, EventLoopWorker worker, ClientConnections connections) {
        this.context = context;
        this.worker = worker;
        this.connections = connections;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        memory = context.memory().open(channel, () -> worker.loop().execute(this::closeForMemory));
        receiver = new RequestReceiver(context, memory);
        decoder = channel.pipeline().get(StrictRequestDecoder.class);
        pipelinedMessages = new PipelinedMessages(channel, memory);
        long now = context.clock().now();
        unread = new UnreadAnswers(channel, memory, now);
        responseWriter = new ClientResponseWriter(channel, this::closesAfterResponse, unread);
        times = new ReceiveTimes(now);
        connections.add(this);
        if (!memory.isAdmitted()) {
            abortResponse();
        }
    }

    private boolean closesAfterResponse() {
        return pipelinedMessages.isRefused() || (connections.isDraining() && !hasFurtherRequest());
    }

    /** Ends the connection, whose client makes too little progress, so that others get memory. */
    private void closeForMemory() {
        if (activeRequest == null && receiver.isWithinBody() && !closing) {
            reject(receiver.lackOfMemory());
        } else {
            channel.close();
        }
    }

    /**
     * Records received bytes before they are decoded. The first bytes after a response start a new
     * request head.
     *
     * @return whether the bytes are to be decoded
     */
    public boolean receiveBytes(ByteBuf bytes) {
        memory.progressed(bytes.readableBytes());
        boolean isHead = !receiver.isWithinBody() && mayBeginRequest();
        times.recordBytes(isHead, context.clock().now());
        if (isHead && !closing) {
            receiver.receivePart(bytes).ifPresent(this::reject);
        }
        return !closing;
    }

    /** Returns whether what is read next belongs to a request that can be handled at once. */
    private boolean mayBeginRequest() {
        return activeRequest == null && pipelinedMessages.isEmpty() && channel.isWritable();
    }

    /** Closes the connection if the client is too slow or has been idle for too long. */
    void enforceTimeouts(IngressLimits limits) {
        long now = context.clock().now();
        if (unread.closeIfIgnored(limits.idleTimeoutMillis(), now)) {
            return;
        }
        if (activeRequest != null || closing || !pipelinedMessages.isEmpty()) {
            return;
        }
        if (receiver.isWithinBody() || times.isWithinHead()) {
            if (times.isTooSlow(receiver.isWithinBody(), limits, now)) {
                reject(
                        REQUEST_TIMEOUT,
                        "the request was not received within "
                                + limits.headerTimeoutMillis()
                                + " ms");
            }
        } else if (unread.bytes() == 0 && times.isIdleTooLong(limits, now)) {
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
        return receiver.isWithinBody() || !pipelinedMessages.isEmpty() || decoder.isWithinRequest();
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
        if (mayBeginRequest()) {
            handleMessage(message);
            return;
        }
        pipelinedMessages.add(message);
        if (pipelinedMessages.isRefused() && activeRequest == null) {
            channel.close();
        }
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
        Optional<RequestHeadValidator.Rejection> rejection = receiver.begin(request);
        if (rejection.isPresent()) {
            reject(rejection.get());
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void appendContent(HttpContent content) {
        if (!receiver.isWithinBody() || closing) {
            content.release();
            return;
        }
        Either<RequestHeadValidator.Rejection, Optional<ClientRequest>> received =
                receiver.append(content, times.headReceivedAt());
        if (received.isLeft()) {
            reject(received.getLeft());
        } else if (received.get().isPresent()) {
            memory.waitForClient(false);
            activeRequest = new ForwardedRequest(context, worker, this, received.get().get());
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
    public boolean reserveForResponse(long bytes) {
        return memory.reserve(MemoryKind.ENDPOINT_RESPONSES, bytes);
    }

    @Override
    public void releaseForResponse(long bytes) {
        memory.release(MemoryKind.ENDPOINT_RESPONSES, bytes);
    }

    @Override
    public void abortResponse() {
        activeRequest = null;
        closing = true;
        receiver.releaseMemory();
        channel.close();
    }

    private void finishResponse(boolean close) {
        activeRequest = null;
        receiver.releaseMemory();
        memory.waitForClient(true);
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
        while (activeRequest == null
                && !closing
                && channel.isWritable()
                && !pipelinedMessages.isEmpty()) {
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
        responseWriter.rejectAndClose(status, explanation);
        receiver.discard();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (activeRequest != null) {
            memory.waitForClient(!channel.isWritable());
            activeRequest.clientWritabilityChanged(channel.isWritable());
        } else if (channel.isWritable() && !pipelinedMessages.isEmpty()) {
            worker.loop().execute(this::processPipelined);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connections.remove(this);
        receiver.discard();
        pipelinedMessages.discard();
        if (activeRequest != null) {
            ForwardedRequest abandonedRequest = activeRequest;
            activeRequest = null;
            abandonedRequest.clientDisconnected();
        }
        memory.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        channel.close();
    }
}
