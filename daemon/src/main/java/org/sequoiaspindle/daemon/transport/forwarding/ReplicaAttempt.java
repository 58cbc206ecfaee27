package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.Set;
import org.sequoiaspindle.core.coordination.forwarding.AttemptResult;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaStatus;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaRequestContext;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaResponseHead;
import org.sequoiaspindle.core.state.forwarding.ApiKeyOwner;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.RequestKind;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool.Destination;
import org.sequoiaspindle.daemon.transport.http.OutboundConnection;
import org.sequoiaspindle.daemon.transport.http.ResponseListener;

/**
 * One attempt to execute a request at one replica. The response to a stream request is passed to
 * the client as it arrives; any other response is buffered until it is complete, or too large.
 * Confined to the event loop of the request.
 */
final class ReplicaAttempt implements ResponseListener {

    /** Maximum size of a buffered response, in bytes; larger ones are passed on as they arrive. */
    private static final int MAX_BUFFERED_BYTES = 512 * 1024;

    private static final int CONFLICT = 409;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int MAX_URGENCY = 9;

    private final ForwardedRequest forwarded;
    private final Replica replica;
    private final ReplicaStatus status;
    private final ByteBuf bufferedBody = Unpooled.buffer(1024);
    private OutboundConnection connection;
    private ReplicaResponseHead responseHead;
    private HttpHeaders responseFields;
    private boolean responseStarted;
    private boolean finished;

    ReplicaAttempt(ForwardedRequest forwarded, Replica replica) {
        this.forwarded = forwarded;
        this.replica = replica;
        this.status = forwarded.context().statuses().statusOf(replica);
    }

    void start() {
        status.requestStarted();
        Destination destination = new Destination(replica.address(), replica.id().toString());
        forwarded.worker().pool().acquire(destination, this::connected);
    }

    private void connected(OutboundConnection acquired, String reason) {
        if (finished) {
            if (acquired != null) {
                acquired.abort();
            }
            return;
        }
        if (acquired == null) {
            long now = forwarded.context().clock().now();
            status.updateHealth(health -> health.afterConnectFailure(now));
            finish(AttemptResult.NOT_SENT, "no connection: " + reason);
            return;
        }
        connection = acquired;
        forwarded.recordSend();
        connection.send(head(), forwarded.request().body().retainedDuplicate(), this);
    }

    private HttpRequest head() {
        HttpRequest original = forwarded.request().head();
        HttpHeaders fields =
                HeaderFilter.copyEndToEnd(
                        original.headers(), forwarded.context().dialect().reservedFields());
        int length = forwarded.request().body().readableBytes();
        if (length > 0 || original.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            fields.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        forwarded
                .context()
                .dialect()
                .replicaRequestWriter()
                .write(replicaRequestContext(), fields::set);
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, original.method(), original.uri(), fields);
    }

    private ReplicaRequestContext replicaRequestContext() {
        boolean isGeneration = forwarded.route().sticky();
        return new ReplicaRequestContext(
                replica,
                Math.max(1, forwarded.millisLeft()),
                forwarded.admitted().keyOwner().map(ApiKeyOwner::organisation),
                isGeneration
                        ? Optional.of(Math.min(MAX_URGENCY, forwarded.admitted().priority()))
                        : Optional.empty(),
                forwarded.inputHandles(),
                Optional.empty());
    }

    boolean isSent() {
        return connection != null;
    }

    /** Whether the response to the client has started. */
    boolean hasStartedResponse() {
        return responseStarted;
    }

    int status() {
        return responseHead.status();
    }

    void setReading(boolean enabled) {
        if (connection != null) {
            connection.setReading(enabled);
        }
    }

    /** Cancels the attempt; the replica stops when the connection closes. */
    void abort() {
        if (finished) {
            return;
        }
        finished = true;
        status.requestFinished();
        if (connection != null) {
            connection.abort();
        }
    }

    @Override
    public boolean head(HttpResponse response) {
        ReplicaResponseHead parsedHead =
                forwarded
                        .context()
                        .dialect()
                        .responseReader()
                        .read(
                                response.status().code(),
                                name -> Optional.ofNullable(response.headers().get(name)));
        String expectedId = forwarded.request().metadata().id();
        if (parsedHead.requestId().isPresent()
                && !parsedHead.requestId().get().equals(expectedId)) {
            return false;
        }
        responseHead = parsedHead;
        responseFields = HeaderFilter.copyEndToEnd(response.headers(), Set.of());
        long now = forwarded.context().clock().now();
        responseHead.load().ifPresent(load -> status.recordLoad(load, now));
        if (responseHead.contentEncoded() || (responseHead.isSuccess() && !responseHead.sealed())) {
            connection.abort();
            failed("response without signature or with a content encoding");
        }
        return true;
    }

    @Override
    public void content(ByteBuf bytes) {
        if (finished) {
            return;
        }
        if (responseStarted) {
            forwardContent(bytes.retainedDuplicate());
            return;
        }
        bufferedBody.writeBytes(bytes);
        boolean isStream =
                forwarded.route().kind() == RequestKind.STREAM && responseHead.isSuccess();
        if (isStream
                || (responseHead.isSuccess()
                        && bufferedBody.readableBytes() > MAX_BUFFERED_BYTES)) {
            responseStarted = true;
            forwarded.releaseInputs();
            forwarded.firstBytesReceived();
            forwarded.client().startResponse(responseHead.status(), responseFields);
            forwardContent(bufferedBody);
        }
    }

    private void forwardContent(ByteBuf bytes) {
        forwarded.client().writePart(bytes);
        if (!forwarded.client().channel().isWritable()) {
            connection.setReading(false);
        }
    }

    @Override
    public void end() {
        if (finished) {
            return;
        }
        if (responseStarted) {
            finished = true;
            status.requestFinished();
            status.updateHealth(health -> health.afterSuccess());
            forwarded.streamCompleted(responseHead.status());
            return;
        }
        finish(classifyResponse(), "status " + responseHead.status());
    }

    private AttemptResult classifyResponse() {
        if (responseHead.status() == CONFLICT && responseHead.notExecuted()) {
            return AttemptResult.INPUTS_GONE;
        }
        if (responseHead.notExecuted() || responseHead.status() == MISDIRECTED_REQUEST) {
            return AttemptResult.NOT_EXECUTED;
        }
        return responseHead.isServerError() ? AttemptResult.FAILED : AttemptResult.ANSWERED;
    }

    @Override
    public void failed(String reason) {
        if (finished) {
            return;
        }
        long now = forwarded.context().clock().now();
        status.updateHealth(health -> health.afterFailure(now));
        if (responseStarted) {
            finished = true;
            status.requestFinished();
            forwarded.streamBroken(replica, responseHead.status(), reason);
            return;
        }
        finish(AttemptResult.UNKNOWN, reason);
    }

    private void finish(AttemptResult result, String reason) {
        finished = true;
        status.requestFinished();
        if (result == AttemptResult.ANSWERED) {
            status.updateHealth(health -> health.afterSuccess());
        }
        BufferedResponse response =
                responseHead == null
                        ? null
                        : new BufferedResponse(responseHead.status(), responseFields, bufferedBody);
        forwarded.attemptFinished(replica, result, response, reason);
    }
}
