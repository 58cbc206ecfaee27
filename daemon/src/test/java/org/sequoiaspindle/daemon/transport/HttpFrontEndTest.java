package org.sequoiaspindle.daemon.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.List;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.protocol.publication.PublishResult;
import org.sequoiaspindle.core.protocol.request.Answer;
import org.sequoiaspindle.core.protocol.request.CallerRequest;
import org.sequoiaspindle.core.protocol.request.OutcomeReason;
import org.sequoiaspindle.core.protocol.request.RequestHandler;
import org.sequoiaspindle.core.protocol.request.SpanTracer;
import org.sequoiaspindle.core.state.Outcome;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.SnapshotHolder;
import org.sequoiaspindle.daemon.transport.caller.CallerDependencies;
import org.sequoiaspindle.daemon.transport.operator.MonitoringDependencies;
import org.sequoiaspindle.daemon.transport.operator.OperatorDependencies;

/**
 * Guards against input of one caller that affects other callers, and against responses that a
 * shutdown cuts off.
 */
final class HttpFrontEndTest {

    private static final int STREAMS = 60;
    private static final int TOKENS = 200;

    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    private static HttpFrontEnd server;

    @BeforeAll
    @BeforeContainer
    static void start() {
        server = startServer(HttpFrontEndTest::streamNamedTokens);
    }

    @AfterAll
    @AfterContainer
    static void stop() {
        server.close();
    }

    @Test
    void concurrentStreamsEachHaveAllTokensOfTheirCaller() {
        Vector<CompletableFuture<HttpResponse<String>>> streams =
                Vector.range(0, STREAMS).map(i -> post(server, "caller" + i, true));
        streams.forEachWithIndex(
                (stream, caller) -> {
                    String body = stream.orTimeout(60, TimeUnit.SECONDS).join().body();
                    for (int i = 0; i < TOKENS; i++) {
                        String event =
                                "{\"position\":" + i + ",\"text\":\"caller" + caller + "-\"}";
                        assertTrue(body.contains(event), () -> event + " in " + body);
                    }
                    assertEquals(TOKENS + 1, body.split("\n\n").length);
                    assertTrue(body.contains("event: outcome\ndata: {\"outcome\":\"ANSWERED\""));
                });
    }

    @Property(seed = "4717", tries = 150)
    void malformedInputAffectsOnlyTheConnectionThatSentIt(@ForAll("requests") String bytes)
            throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.port())) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        }
        assertEquals(200, post(server, "other", false).join().statusCode());
    }

    @Test
    void gracefulShutdownWaitsForTheAnswerInProgress() throws Exception {
        CompletableFuture<Void> started = new CompletableFuture<>();
        CompletableFuture<Answer> end = new CompletableFuture<>();
        HttpFrontEnd stoppingServer =
                startServer(
                        (request, sink) -> {
                            sink.accept(new Token(0, "a"));
                            started.complete(null);
                            return end;
                        });
        CompletableFuture<HttpResponse<String>> response = post(stoppingServer, "acme", true);
        started.get(30, TimeUnit.SECONDS);
        CompletableFuture<?> shutdown = stoppingServer.shutdownGracefully().toCompletableFuture();
        assertFalse(shutdown.isDone());
        end.complete(answer());
        assertTrue(response.get(30, TimeUnit.SECONDS).body().contains("event: outcome"));
        shutdown.get(30, TimeUnit.SECONDS);
        stoppingServer.close();
    }

    @Provide
    Arbitrary<String> requests() {
        Arbitrary<String> head =
                Arbitraries.of(
                        "POST /v1/pipelines/chat HTTP/1.1\r\nHost: a\r\n",
                        "POST /v1/pipelines/%ff HTTP/1.1\r\n",
                        "PUT /v1/configuration?base=1 HTTP/1.0\r\n",
                        "GET /metrics HTTP/9.9\r\n",
                        "");
        Arbitrary<String> field =
                Arbitraries.of(
                        "Authorization: Bearer a:b\r\n",
                        "Content-Length: 5\r\n",
                        "Content-Length: -1\r\n",
                        "Content-Length: 99999999999999999999\r\n",
                        "Transfer-Encoding: chunked\r\n",
                        "Content-Encoding: gzip\r\n",
                        "Content-Type: \u0000/;=\r\n",
                        "Accept: ;;q=x,text/event-stream\r\n",
                        "Expect: 100-continue\r\n",
                        "Sequoia-Deadline-Ms: 9223372036854775808\r\n");
        Arbitrary<String> noise =
                Arbitraries.strings().withCharRange('\u0000', '\u00ff').ofMaxLength(40);
        return Combinators.combine(head, field.list().ofMaxSize(4), noise)
                .as((start, fields, rest) -> start + String.join("", fields) + "\r\n" + rest);
    }

    private static HttpFrontEnd startServer(RequestHandler handler) {
        HttpFrontEnd frontEnd = HttpFrontEnd.create("127.0.0.1", 0);
        OperatorDependencies operators =
                new OperatorDependencies(
                        "entry-1",
                        new SnapshotHolder(),
                        Option.none(),
                        text -> Either.left(Vector.empty()),
                        objects -> "{}",
                        request -> CompletableFuture.completedFuture(new PublishResult.NotRun("")),
                        Vector::empty);
        frontEnd.start(
                List.of(
                        new CallerDependencies(handler, SpanTracer.NONE),
                        operators,
                        new MonitoringDependencies(() -> "", () -> true)));
        return frontEnd;
    }

    private static CompletableFuture<Answer> streamNamedTokens(
            CallerRequest request, TokenSink sink) {
        return CompletableFuture.supplyAsync(
                () -> {
                    for (int i = 0; i < TOKENS; i++) {
                        sink.accept(new Token(i, request.organisation() + "-"));
                    }
                    return answer();
                });
    }

    private static Answer answer() {
        return new Answer(
                new RequestId("r"),
                Outcome.ANSWERED,
                OutcomeReason.NONE,
                "",
                "o",
                1,
                Vector.empty());
    }

    private static CompletableFuture<HttpResponse<String>> post(
            HttpFrontEnd target, String organisation, boolean stream) {
        return CLIENT.sendAsync(
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:" + target.port() + "/v1/pipelines/chat"))
                        .header("Authorization", "Bearer " + organisation + ":s")
                        .header("Accept", stream ? "text/event-stream" : "*/*")
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        "{\"input\":\"a\",\"maxTokens\":5}"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }
}
