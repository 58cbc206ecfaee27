package org.sequoiaspindle.daemon.transport.operator;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.ServerHttpRequest;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Put;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.publication.PublishRequest;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.daemon.protocol.operator.OperatorAuthenticator;
import org.sequoiaspindle.daemon.protocol.operator.OperatorReplies;
import org.sequoiaspindle.daemon.protocol.operator.OperatorReplies.Reply;
import org.sequoiaspindle.daemon.transport.RequestBodyReader;

/**
 * Serves operators, who publish configurations and read the active configuration and the status of
 * the instances. Large documents take long to parse and to encode, so neither happens on the event
 * loops that serve callers.
 */
@Controller
final class OperatorController {

    private static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;
    private static final int MAX_SUBMISSION_LENGTH = 64;

    private final OperatorDependencies dependencies;

    OperatorController(OperatorDependencies dependencies) {
        this.dependencies = dependencies;
    }

    @Put(uri = "/v1/configuration", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletionStage<HttpResponse<?>> publish(ServerHttpRequest<?> request) {
        Option<String> operator = authenticate(request);
        if (operator.isEmpty()) {
            return CompletableFuture.completedFuture(response(unauthenticated()));
        }
        return RequestBodyReader.read(request, MAX_DOCUMENT_BYTES)
                .thenComposeAsync(body -> publish(operator.get(), request, body))
                .thenApply(OperatorController::response);
    }

    @ExecuteOn(TaskExecutors.IO)
    @Get(uri = "/v1/configuration", produces = MediaType.ALL)
    HttpResponse<?> configuration(ServerHttpRequest<?> request) {
        Snapshot snapshot = dependencies.snapshots().current();
        return replyToOperator(
                request,
                () ->
                        OperatorReplies.configuration(
                                snapshot.generation(),
                                dependencies.printer().apply(snapshot.objects())));
    }

    @Get(uri = "/v1/status", produces = MediaType.ALL)
    HttpResponse<?> status(ServerHttpRequest<?> request) {
        return replyToOperator(
                request,
                () ->
                        OperatorReplies.status(
                                dependencies.instance(),
                                dependencies.snapshots().current().generation(),
                                dependencies.instances().get()));
    }

    private CompletionStage<Reply> publish(
            String operator, ServerHttpRequest<?> request, Option<byte[]> body) {
        if (body.isEmpty()) {
            return refusal(413, "the document is larger than " + MAX_DOCUMENT_BYTES + " bytes");
        }
        Option<Long> baseGeneration =
                parameter(request, "base")
                        .flatMap(text -> Try.of(() -> Long.parseLong(text)).toOption())
                        .filter(generation -> generation >= 0);
        Option<String> submissionId =
                parameter(request, "submission")
                        .filter(id -> !id.isBlank() && id.length() <= MAX_SUBMISSION_LENGTH);
        String dryRun = parameter(request, "dryRun").getOrElse("false");
        if (baseGeneration.isEmpty()) {
            return refusal(400, "give base=<generation that the document was derived from>");
        }
        if (submissionId.isEmpty()) {
            return refusal(400, "give submission=<1 to " + MAX_SUBMISSION_LENGTH + " characters>");
        }
        if (!dryRun.equals("true") && !dryRun.equals("false")) {
            return refusal(400, "give dryRun=true or dryRun=false");
        }
        Either<Vector<ValidationProblem>, ObjectSet> parsedObjects =
                dependencies.parser().apply(new String(body.get(), StandardCharsets.UTF_8));
        if (parsedObjects.isLeft()) {
            return CompletableFuture.completedFuture(
                    OperatorReplies.invalid(parsedObjects.getLeft()));
        }
        return dependencies
                .publisher()
                .publish(
                        new PublishRequest(
                                operator,
                                submissionId.get(),
                                baseGeneration.get(),
                                parsedObjects.get(),
                                dryRun.equals("true")))
                .thenApply(OperatorReplies::reply);
    }

    private HttpResponse<?> replyToOperator(ServerHttpRequest<?> request, Supplier<Reply> reply) {
        return response(authenticate(request).isDefined() ? reply.get() : unauthenticated());
    }

    private Option<String> authenticate(ServerHttpRequest<?> request) {
        return OperatorAuthenticator.authenticate(
                Option.of(request.getHeaders().get("Authorization")),
                dependencies.snapshots().current(),
                dependencies.bootstrap());
    }

    private static Option<String> parameter(ServerHttpRequest<?> request, String name) {
        return Option.of(request.getParameters().get(name));
    }

    private static Reply unauthenticated() {
        return OperatorReplies.refusal(401, "send Authorization: Bearer <operator>:<secret>");
    }

    private static CompletionStage<Reply> refusal(int status, String reason) {
        return CompletableFuture.completedFuture(OperatorReplies.refusal(status, reason));
    }

    private static HttpResponse<?> response(Reply reply) {
        return HttpResponse.status(reply.status(), "")
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .body(reply.body());
    }
}
