package org.sequoiaspindle.daemon.transport.caller;

import io.micronaut.core.io.buffer.ReadBuffer;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.ServerHttpRequest;
import io.micronaut.http.body.ByteBodyFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.protocol.request.Answer;
import org.sequoiaspindle.daemon.protocol.caller.AnswerWriter;
import org.sequoiaspindle.daemon.protocol.caller.EventStreamWriter;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.util.concurrent.Queues;

/**
 * Streams the answer to one caller as server-sent events. The response head is sent with the first
 * token or, if there is none, with the outcome, so that a request that was not run gets the HTTP
 * status of its outcome.
 */
final class EventStreamResponse implements TokenSink {

    /**
     * Largest number of events buffered for a slow caller. A request whose buffer overflows is
     * cancelled.
     */
    static final int MAX_BUFFERED_EVENTS = 1024;

    /** Number of events that are passed to the event loop at once. */
    private static final int EVENT_LOOP_BATCH = 32;

    private final CallerConnection connection;
    private final ByteBodyFactory bodyFactory;

    /**
     * Events are published on the event loop of the connection, as Micronaut fails on events that
     * are published on a closed connection by another thread.
     */
    private final Scheduler eventLoop;

    private final Sinks.Many<ReadBuffer> eventSink =
            Sinks.many()
                    .unicast()
                    .onBackpressureBuffer(Queues.<ReadBuffer>get(MAX_BUFFERED_EVENTS).get());
    private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();

    EventStreamResponse(ServerHttpRequest<?> request, CallerConnection connection) {
        this.connection = connection;
        this.eventLoop = connection.scheduler();
        this.bodyFactory = request.byteBodyFactory();
    }

    CompletionStage<HttpResponse<?>> response() {
        return response;
    }

    /** Buffers a token; closes the connection if the buffer is full. */
    @Override
    public boolean accept(Token token) {
        if (!connection.isOpen()) {
            return false;
        }
        if (!emit("token", AnswerWriter.toJson(token))) {
            connection.close();
            return false;
        }
        startResponse(HttpStatus.OK.getCode());
        return true;
    }

    /** Ends the stream with an outcome event; closes the connection if the buffer is full. */
    void end(Answer answer, String traceId) {
        if (emit("outcome", AnswerWriter.toJson(answer, traceId))) {
            eventSink.tryEmitComplete();
        } else {
            connection.close();
            eventSink.tryEmitError(new IllegalStateException("the caller does not read"));
        }
        startResponse(AnswerWriter.status(answer));
    }

    private boolean emit(String name, byte[] json) {
        byte[] event = EventStreamWriter.encodeEvent(name, json);
        return eventSink.tryEmitNext(bodyFactory.readBufferFactory().adapt(event)).isSuccess();
    }

    private void startResponse(int status) {
        if (!response.isDone()) {
            response.complete(
                    HttpResponse.status(status, "")
                            .contentType(MediaType.TEXT_EVENT_STREAM_TYPE)
                            .body(
                                    bodyFactory.adapt(
                                            eventSink
                                                    .asFlux()
                                                    .publishOn(eventLoop, EVENT_LOOP_BATCH))));
        }
    }
}
