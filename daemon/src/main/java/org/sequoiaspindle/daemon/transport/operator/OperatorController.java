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
import org.sequoiaspindle.core.coordination.configuration.Problem;
import org.sequoiaspindle.core.protocol.publication.PublishRequest;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.daemon.protocol.operator.OperatorAccess;
import org.sequoiaspindle.daemon.protocol.operator.OperatorMessages;
import org.sequoiaspindle.daemon.protocol.operator.OperatorMessages.Reply;
import org.sequoiaspindle.daemon.transport.BodyReader;

/**
 * Lets operators publish and inspect configurations. Large documents take long to read and to
 * write, so neither happens on the event loops that serve callers.
 */
@Controller
final class OperatorController {

    private static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;
    private static final int MAX_SUBMISSION_LENGTH = 64;

    private final OperatorPorts ports;

    OperatorController(OperatorPorts ports) {
        this.ports = ports;
    }

    @Put(uri = "/v1/configuration", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletionStage<HttpResponse<?>> publish(ServerHttpRequest<?> request) {
        Option<String> operator = authenticate(request);
        if (operator.isEmpty()) {
            return CompletableFuture.completedFuture(response(unauthenticated()));
        }
        return BodyReader.read(request, MAX_DOCUMENT_BYTES)
                .thenComposeAsync(body -> publish(operator.get(), request, body))
                .thenApply(OperatorController::response);
    }

    @ExecuteOn(TaskExecutors.IO)
    @Get(uri = "/v1/configuration", produces = MediaType.ALL)
    HttpResponse<?> configuration(ServerHttpRequest<?> request) {
        Snapshot snapshot = ports.snapshots().current();
        return ifOperator(
                request,
                () ->
                        OperatorMessages.configuration(
                                snapshot.generation(), ports.printer().apply(snapshot.objects())));
    }

    @Get(uri = "/v1/status", produces = MediaType.ALL)
    HttpResponse<?> status(ServerHttpRequest<?> request) {
        return ifOperator(
                request,
                () ->
                        OperatorMessages.status(
                                ports.instance(),
                                ports.snapshots().current().generation(),
                                ports.instances().get()));
    }

    private CompletionStage<Reply> publish(
            String operator, ServerHttpRequest<?> request, Option<byte[]> body) {
        if (body.isEmpty()) {
            return refused(413, "the document is larger than " + MAX_DOCUMENT_BYTES + " bytes");
        }
        Option<Long> base =
                parameter(request, "base")
                        .flatMap(text -> Try.of(() -> Long.parseLong(text)).toOption())
                        .filter(generation -> generation >= 0);
        Option<String> submission =
                parameter(request, "submission")
                        .filter(id -> !id.isBlank() && id.length() <= MAX_SUBMISSION_LENGTH);
        String dryRun = parameter(request, "dryRun").getOrElse("false");
        if (base.isEmpty()) {
            return refused(400, "give base=<generation that the document was derived from>");
        }
        if (submission.isEmpty()) {
            return refused(400, "give submission=<1 to " + MAX_SUBMISSION_LENGTH + " characters>");
        }
        if (!dryRun.equals("true") && !dryRun.equals("false")) {
            return refused(400, "give dryRun=true or dryRun=false");
        }
        Either<Vector<Problem>, ObjectSet> parsed =
                ports.parser().apply(new String(body.get(), StandardCharsets.UTF_8));
        if (parsed.isLeft()) {
            return CompletableFuture.completedFuture(OperatorMessages.invalid(parsed.getLeft()));
        }
        return ports.publisher()
                .publish(
                        new PublishRequest(
                                operator,
                                submission.get(),
                                base.get(),
                                parsed.get(),
                                dryRun.equals("true")))
                .thenApply(OperatorMessages::reply);
    }

    private HttpResponse<?> ifOperator(ServerHttpRequest<?> request, Supplier<Reply> reply) {
        return response(authenticate(request).isDefined() ? reply.get() : unauthenticated());
    }

    private Option<String> authenticate(ServerHttpRequest<?> request) {
        return OperatorAccess.authenticate(
                Option.of(request.getHeaders().get("Authorization")),
                ports.snapshots().current(),
                ports.bootstrap());
    }

    private static Option<String> parameter(ServerHttpRequest<?> request, String name) {
        return Option.of(request.getParameters().get(name));
    }

    private static Reply unauthenticated() {
        return OperatorMessages.refused(401, "send Authorization: Bearer <operator>:<secret>");
    }

    private static CompletionStage<Reply> refused(int status, String reason) {
        return CompletableFuture.completedFuture(OperatorMessages.refused(status, reason));
    }

    private static HttpResponse<?> response(Reply reply) {
        return HttpResponse.status(reply.status(), "")
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .body(reply.body());
    }
}
