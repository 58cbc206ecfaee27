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
import org.sequoiaspindle.core.protocol.request.SpanTracer;
import org.sequoiaspindle.daemon.protocol.caller.AnswerWriter;
import org.sequoiaspindle.daemon.protocol.caller.CallerRequestReader;
import org.sequoiaspindle.daemon.protocol.caller.HttpRejection;
import org.sequoiaspindle.daemon.transport.RequestBodyReader;

/** Passes the requests of callers to the request handler and returns the answers. Never blocks. */
@Controller
final class CallerController {

    private static final int TRACE_ID_START = 3;
    private static final int TRACE_ID_END = 35;

    private final CallerDependencies dependencies;

    CallerController(CallerDependencies dependencies) {
        this.dependencies = dependencies;
    }

    @Post(uri = "/v1/pipelines/{pipeline}", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletionStage<HttpResponse<?>> run(String pipeline, ServerHttpRequest<?> request) {
        return RequestBodyReader.read(request, CallerRequestReader.MAX_BODY_BYTES)
                .thenCompose(body -> handleBody(pipeline, request, body));
    }

    private CompletionStage<HttpResponse<?>> handleBody(
            String pipeline, ServerHttpRequest<?> request, Option<byte[]> body) {
        HttpHeaders headers = request.getHeaders();
        Either<HttpRejection, CallerRequest> parsedRequest =
                body.toEither(HttpRejection::tooLarge)
                        .flatMap(
                                bytes ->
                                        CallerRequestReader.read(
                                                pipeline,
                                                name -> Option.of(headers.get(name)),
                                                bytes));
        if (parsedRequest.isLeft()) {
            HttpRejection rejection = parsedRequest.getLeft();
            return CompletableFuture.completedFuture(
                    jsonResponse(rejection.status(), AnswerWriter.toAnswer(rejection), ""));
        }
        SpanTracer.ActiveSpan span = startSpan(parsedRequest.get());
        CallerRequest tracedRequest = withTraceParent(parsedRequest.get(), span);
        CallerConnection connection = CallerConnection.of(request);
        return headers.accept().stream().anyMatch(MediaType.TEXT_EVENT_STREAM_TYPE::equals)
                ? respondStreamed(
                        tracedRequest,
                        new EventStreamResponse(request, connection),
                        connection,
                        span)
                : respondWhole(tracedRequest, connection, span);
    }

    private CompletionStage<HttpResponse<?>> respondStreamed(
            CallerRequest request,
            EventStreamResponse stream,
            CallerConnection connection,
            SpanTracer.ActiveSpan span) {
        dependencies
                .handler()
                .handle(request, stream)
                .thenAccept(
                        answer -> {
                            stream.end(answer, traceId(span));
                            finish(answer, connection, span);
                        });
        return stream.response();
    }

    private CompletionStage<HttpResponse<?>> respondWhole(
            CallerRequest request, CallerConnection connection, SpanTracer.ActiveSpan span) {
        return dependencies
                .handler()
                .handle(request, token -> connection.isOpen())
                .thenApply(
                        answer -> {
                            finish(answer, connection, span);
                            return jsonResponse(AnswerWriter.status(answer), answer, traceId(span));
                        });
    }

    private static void finish(
            Answer answer, CallerConnection connection, SpanTracer.ActiveSpan span) {
        connection.stopWatching();
        span.end(answer.outcome().name());
    }

    private SpanTracer.ActiveSpan startSpan(CallerRequest request) {
        return dependencies
                .tracer()
                .start(
                        "receive " + request.pipeline(),
                        request.traceParent(),
                        HashMap.of("organisation", request.organisation()));
    }

    private static CallerRequest withTraceParent(
            CallerRequest request, SpanTracer.ActiveSpan span) {
        return new CallerRequest(
                request.organisation(),
                request.secret(),
                request.pipeline(),
                request.input(),
                request.maxTokens(),
                request.deadlineMillis(),
                request.idempotencyKey(),
                span.traceParent().isEmpty() ? request.traceParent() : span.traceParent());
    }

    private static String traceId(SpanTracer.ActiveSpan span) {
        String traceParent = span.traceParent();
        return traceParent.isEmpty() ? "" : traceParent.substring(TRACE_ID_START, TRACE_ID_END);
    }

    private static HttpResponse<?> jsonResponse(int status, Answer answer, String traceId) {
        return HttpResponse.status(status, "")
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .body(AnswerWriter.toJson(answer, traceId));
    }
}
