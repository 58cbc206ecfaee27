package org.sequoiaspindle.daemon.transport.caller;

import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.ServerHttpRequest;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Post;
import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.protocol.request.Answer;
import org.sequoiaspindle.core.protocol.request.CallerRequest;
import org.sequoiaspindle.core.protocol.request.HopTracer;
import org.sequoiaspindle.daemon.protocol.caller.AnswerWriter;
import org.sequoiaspindle.daemon.protocol.caller.CallerRequestReader;
import org.sequoiaspindle.daemon.protocol.caller.Rejection;
import org.sequoiaspindle.daemon.transport.BodyReader;

/** Hands requests of callers to the request handler and its answers back. Never blocks. */
@Controller
final class CallerController {

    private static final int TRACE_ID_START = 3;
    private static final int TRACE_ID_END = 35;

    private final CallerPorts ports;

    CallerController(CallerPorts ports) {
        this.ports = ports;
    }

    @Post(uri = "/v1/pipelines/{pipeline}", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletionStage<HttpResponse<?>> run(String pipeline, ServerHttpRequest<?> request) {
        return BodyReader.read(request, CallerRequestReader.MAX_BODY_BYTES)
                .thenCompose(body -> answer(pipeline, request, body));
    }

    private CompletionStage<HttpResponse<?>> answer(
            String pipeline, ServerHttpRequest<?> request, Option<byte[]> body) {
        HttpHeaders headers = request.getHeaders();
        Either<Rejection, CallerRequest> read =
                body.toEither(Rejection::tooLarge)
                        .flatMap(
                                bytes ->
                                        CallerRequestReader.read(
                                                pipeline,
                                                name -> Option.of(headers.get(name)),
                                                bytes));
        if (read.isLeft()) {
            Rejection rejection = read.getLeft();
            return CompletableFuture.completedFuture(
                    json(rejection.status(), AnswerWriter.answer(rejection), ""));
        }
        HopTracer.Hop hop = startHop(read.get());
        CallerRequest traced = withTrace(read.get(), hop);
        CallerConnection connection = CallerConnection.of(request);
        return headers.accept().stream().anyMatch(MediaType.TEXT_EVENT_STREAM_TYPE::equals)
                ? stream(traced, new AnswerStream(request, connection), connection, hop)
                : whole(traced, connection, hop);
    }

    private CompletionStage<HttpResponse<?>> stream(
            CallerRequest request,
            AnswerStream stream,
            CallerConnection connection,
            HopTracer.Hop hop) {
        ports.handler()
                .handle(request, stream)
                .thenAccept(
                        answer -> {
                            stream.end(answer, traceId(hop));
                            finish(answer, connection, hop);
                        });
        return stream.response();
    }

    private CompletionStage<HttpResponse<?>> whole(
            CallerRequest request, CallerConnection connection, HopTracer.Hop hop) {
        return ports.handler()
                .handle(request, token -> connection.isOpen())
                .thenApply(
                        answer -> {
                            finish(answer, connection, hop);
                            return json(AnswerWriter.status(answer), answer, traceId(hop));
                        });
    }

    private static void finish(Answer answer, CallerConnection connection, HopTracer.Hop hop) {
        connection.release();
        hop.end(answer.outcome().name());
    }

    private HopTracer.Hop startHop(CallerRequest request) {
        return ports.tracer()
                .start(
                        "receive " + request.pipeline(),
                        request.traceParent(),
                        HashMap.of("organisation", request.organisation()));
    }

    private static CallerRequest withTrace(CallerRequest request, HopTracer.Hop hop) {
        return new CallerRequest(
                request.organisation(),
                request.secret(),
                request.pipeline(),
                request.input(),
                request.maxTokens(),
                request.deadlineMillis(),
                request.idempotencyKey(),
                hop.traceParent().isEmpty() ? request.traceParent() : hop.traceParent());
    }

    private static String traceId(HopTracer.Hop hop) {
        String context = hop.traceParent();
        return context.isEmpty() ? "" : context.substring(TRACE_ID_START, TRACE_ID_END);
    }

    private static HttpResponse<?> json(int status, Answer answer, String traceId) {
        return HttpResponse.status(status, "")
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .body(AnswerWriter.json(answer, traceId));
    }
}
