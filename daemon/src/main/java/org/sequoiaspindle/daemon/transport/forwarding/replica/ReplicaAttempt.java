package org.sequoiaspindle.daemon.transport.forwarding.replica;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.sequoiaspindle.core.coordination.forwarding.admission.AttemptResult;
import org.sequoiaspindle.core.coordination.forwarding.connection.ConnectionState.Decision;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatus;
import org.sequoiaspindle.core.protocol.forwarding.EventStreamPosition;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaResponseHead;
import org.sequoiaspindle.core.state.forwarding.PromptPart;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.RequestKind;
import org.sequoiaspindle.daemon.transport.forwarding.shared.BufferedResponse;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool.Destination;
import org.sequoiaspindle.daemon.transport.http.OutboundConnection;
import org.sequoiaspindle.daemon.transport.http.ResponseListener;

/**
 * One attempt to execute a request at one replica. The response to a stream request is passed to
 * the client as it arrives. Any other response is buffered until it is complete or exceeds {@link
 * #MAX_BUFFERED_BYTES}. Confined to the event loop of the request.
 */
public final class ReplicaAttempt implements ResponseListener {

    /**
     * Maximum size of a buffered response, in bytes. A larger success is passed on as it arrives; a
     * larger failure is given up, because a faulty replica may send bytes without end.
     */
    private static final int MAX_BUFFERED_BYTES = 512 * 1024;

    /** Memory for each byte of a buffered response, whose buffer grows by doubling. */
    private static final int BUFFER_COPIES = 2;

    private final ForwardingContext context;
    private final EventLoopWorker worker;
    private final AttemptOwner owner;
    private final Replica replica;
    private final BooleanSupplier maySend;
    private final ReplicaStatus replicaStatus;
    private final AttemptPace pace;
    private final ByteBuf bufferedBody = Unpooled.buffer(1024);
    private long reservedBytes;
    private long sentAt;
    private OutboundConnection connection;
    private ReplicaResponseHead responseHead;
    private HttpHeaders responseFields;
    private EventStreamPosition position = EventStreamPosition.START;
    private boolean eventCompleted;
    private boolean endsWithConnection;
    private boolean responseStarted;
    private boolean finished;

    public ReplicaAttempt(
            ForwardingContext context,
            EventLoopWorker worker,
            AttemptOwner owner,
            AttemptTarget target) {
        this.context = context;
        this.worker = worker;
        this.owner = owner;
        this.replica = target.replica();
        this.maySend = target.maySend();
        this.replicaStatus = context.statuses().statusOf(replica);
        this.pace = new AttemptPace(context, owner, replica);
    }

    public void start() {
        replicaStatus.requestStarted();
        Destination destination = new Destination(replica.address(), replica.id().toString());
        worker.pool().acquireFor(requestId(), destination, this::connected);
    }

    private void connected(OutboundConnection acquiredConnection, String reason) {
        if (finished) {
            if (acquiredConnection != null) {
                acquiredConnection.abort();
            }
            return;
        }
        long now = context.clock().now();
        if (context.statuses().isClosed(replica, now)) {
            withdraw(acquiredConnection);
            return;
        }
        if (acquiredConnection == null) {
            replicaStatus.updateHealth(health -> health.afterConnectFailure(now));
            pace.failed();
            finish(AttemptResult.NOT_SENT, "no connection: " + reason);
            return;
        }
        HttpRequest head = ReplicaRequestHead.of(context, owner, replica);
        if (!maySend.getAsBoolean()) {
            withdraw(acquiredConnection);
            return;
        }
        connection = acquiredConnection;
        sentAt = now;
        pace.sent();
        owner.recordSend(connection);
        connection.send(head, owner.request().body().retainedDuplicate(), this);
    }

    /** Ends the attempt because the replica may not be sent the request any more. */
    private void withdraw(OutboundConnection unusedConnection) {
        finished = true;
        replicaStatus.requestFinished();
        if (unusedConnection != null) {
            unusedConnection.abort();
        }
        owner.attemptWithdrawn(replica);
    }

    public boolean isSent() {
        return connection != null;
    }

    /** Returns whether the response to the client has started. */
    public boolean hasStartedResponse() {
        return responseStarted;
    }

    public int responseStatus() {
        return responseHead.status();
    }

    public void setReading(boolean enabled) {
        if (connection != null) {
            connection.setReading(enabled);
        }
    }

    /** Cancels the attempt; the replica stops when the connection closes. */
    public void abort() {
        if (finished) {
            return;
        }
        finished = true;
        releaseMemory();
        pace.aborted();
        replicaStatus.requestFinished();
        if (connection != null) {
            connection.abort();
        }
    }

    private void releaseMemory() {
        owner.client().releaseForResponse(reservedBytes);
        reservedBytes = 0;
    }

    @Override
    public boolean head(HttpResponse response) {
        ReplicaResponseHead parsedHead =
                context.dialect()
                        .responseReader()
                        .read(
                                response.status().code(),
                                name -> Optional.ofNullable(response.headers().get(name)));
        Decision ownership = connection.ownerOf(parsedHead.requestId());
        if (ownership == Decision.DISCARD) {
            context.strayAnswers().recordDiscarded(requestId(), replica, connection, parsedHead);
            return false;
        }
        if (ownership == Decision.FAIL) {
            context.strayAnswers().recordDiscarded(requestId(), replica, connection, parsedHead);
            context.answerRecorder().recordPossibleCopy(replica, parsedHead);
            connection.abort();
            failed("response without an identifier on a connection in use again");
            return true;
        }
        responseHead = parsedHead;
        endsWithConnection =
                !HttpUtil.isContentLengthSet(response)
                        && !HttpUtil.isTransferEncodingChunked(response);
        responseFields = HeaderFilter.copyEndToEnd(response.headers(), Set.of());
        context.answerRecorder().record(replica, responseHead);
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
        pace.bytesReceived(responseHead);
        if (isStream()) {
            bytes.forEachByte(this::advance);
        }
        if (responseStarted) {
            forwardContent(bytes.retainedDuplicate());
            return;
        }
        boolean isTooLong = !mayBuffer(bytes.readableBytes());
        if (isTooLong && !responseHead.isSuccess()) {
            connection.abort();
            failed("failure response that is too long to be buffered");
            return;
        }
        bufferedBody.writeBytes(bytes);
        if (responseHead.isSuccess() && (isTooLong || isStream())) {
            responseStarted = true;
            releaseMemory();
            owner.releaseInputs();
            owner.firstBytesReceived();
            owner.client().startResponse(responseHead.status(), responseFields);
            forwardContent(bufferedBody);
        }
    }

    /** Reserves the memory for bytes that are not passed on yet. */
    private boolean mayBuffer(int bytes) {
        long memory = (long) BUFFER_COPIES * bytes;
        if (bufferedBody.readableBytes() + bytes > MAX_BUFFERED_BYTES
                || !owner.client().reserveForResponse(memory)) {
            return false;
        }
        reservedBytes += memory;
        return true;
    }

    private String requestId() {
        return owner.request().metadata().id();
    }

    private boolean isStream() {
        return owner.admission().route().kind() == RequestKind.STREAM;
    }

    private boolean advance(byte next) {
        boolean wasInsideEvent = position.insideEvent();
        position = position.after(next);
        eventCompleted |= wasInsideEvent && !position.insideEvent();
        return true;
    }

    private void forwardContent(ByteBuf bytes) {
        owner.client().writePart(bytes);
        if (!owner.client().isWritable()) {
            connection.setReading(false);
        }
    }

    @Override
    public void end() {
        if (finished) {
            return;
        }
        if (endsWithConnection && responseHead.isSuccess() && position.insideEvent()) {
            failed("connection closed inside an event");
            return;
        }
        if (responseStarted) {
            finished = true;
            recordSuccess();
            owner.streamCompleted(responseHead.status());
            return;
        }
        pace.ended(responseHead);
        finish(responseHead.attemptResult(), "status " + responseHead.status());
    }

    @Override
    public void failed(String reason) {
        if (finished) {
            return;
        }
        long now = context.clock().now();
        replicaStatus.updateHealth(health -> health.afterFailure(now));
        pace.failed();
        if (!eventCompleted) {
            context.crashReporter().requestLost(replica, sharedPromptParts());
        }
        if (responseStarted) {
            finished = true;
            replicaStatus.requestFinished();
            owner.streamBroken(replica, responseHead.status(), reason);
            return;
        }
        finish(AttemptResult.UNKNOWN, reason);
    }

    private void recordSuccess() {
        replicaStatus.requestFinished();
        replicaStatus.updateHealth(health -> health.afterSuccess());
        context.responseTimes()
                .observe(owner.admission().route().name(), context.clock().now() - sentAt);
        if (responseHead.isSuccess()) {
            context.crashReporter().requestServed(sharedPromptParts());
        }
    }

    private List<PromptPart> sharedPromptParts() {
        return owner.request().metadata().sharedPromptParts();
    }

    private void finish(AttemptResult result, String reason) {
        finished = true;
        releaseMemory();
        if (result == AttemptResult.ANSWERED) {
            recordSuccess();
        } else {
            replicaStatus.requestFinished();
        }
        BufferedResponse response =
                responseHead == null
                        ? null
                        : new BufferedResponse(responseHead.status(), responseFields, bufferedBody);
        owner.attemptFinished(replica, result, response, reason);
    }
}
