package org.sequoiaspindle.daemon.transport.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.List;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.protocol.request.Answer;
import org.sequoiaspindle.core.protocol.request.AttemptReport;
import org.sequoiaspindle.core.protocol.request.CallerRequest;
import org.sequoiaspindle.core.protocol.request.OutcomeReason;
import org.sequoiaspindle.core.protocol.request.RequestHandler;
import org.sequoiaspindle.core.protocol.request.SpanTracer;
import org.sequoiaspindle.core.state.Outcome;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.daemon.transport.HttpFrontEnd;

/**
 * Guards against wrong statuses, and against harm by malformed requests, slow readers and
 * disconnected callers.
 */
final class CallerControllerTest {

    /**
     * Upper bound of the tokens that are buffered for a caller that does not read: 1024 in the
     * buffer of the stream and 16 000 tokens of 1 kB in the socket buffers of Linux.
     */
    private static final int MAX_UNREAD_TOKENS = 1024 + 16_000;

    private static final AtomicReference<RequestHandler> HANDLER = new AtomicReference<>();
    private static final HttpFrontEnd SERVER = HttpFrontEnd.create("127.0.0.1", 0);
    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static final String BODY = "{\"input\":\"hello\",\"maxTokens\":5}";

    static {
        SERVER.start(
                List.of(
                        new CallerDependencies(
                                (request, sink) -> HANDLER.get().handle(request, sink),
                                SpanTracer.NONE)));
    }

    @AfterAll
    static void stop() {
        SERVER.close();
    }

    @Test
    void requestReachesTheHandlerAsItWasSent() throws Exception {
        AtomicReference<CallerRequest> receivedRequest = new AtomicReference<>();
        HANDLER.set(
                (request, sink) -> {
                    receivedRequest.set(request);
                    return CompletableFuture.completedFuture(
                            answer(Outcome.ANSWERED, OutcomeReason.NONE));
                });
        HttpResponse<String> response =
                send(
                        request(BODY)
                                .header("Sequoia-Deadline-Ms", "700")
                                .header("Idempotency-Key", "1-a")
                                .header("traceparent", "nonsense"));
        assertEquals(200, response.statusCode());
        assertEquals(
                "{\"outcome\":\"ANSWERED\",\"answer\":\"out\",\"reason\":\"NONE\",\"detail\":\"\","
                        + "\"requestId\":\"r\",\"generation\":7,\"stages\":[{\"stage\":\"s\","
                        + "\"endpoint\":\"e\",\"attempt\":1,\"outcome\":\"Completed\","
                        + "\"waitMs\":2,\"serviceMs\":3}],\"traceId\":\"\"}",
                response.body());
        assertEquals(
                new CallerRequest(
                        "acme",
                        "se:cret",
                        "chat",
                        "hello",
                        5,
                        Option.of(700L),
                        Option.of("1-a"),
                        ""),
                receivedRequest.get());
    }

    @Test
    void everyOutcomeHasItsStatusAndIsNamedInTheBody() throws Exception {
        assertStatus(429, Outcome.NOT_RUN, OutcomeReason.OVER_LIMIT);
        assertStatus(503, Outcome.NOT_RUN, OutcomeReason.NO_ENDPOINT);
        assertStatus(401, Outcome.NOT_RUN, OutcomeReason.UNAUTHENTICATED);
        assertStatus(403, Outcome.NOT_RUN, OutcomeReason.FORBIDDEN);
        assertStatus(404, Outcome.NOT_RUN, OutcomeReason.UNKNOWN_PIPELINE);
        assertStatus(400, Outcome.NOT_RUN, OutcomeReason.MALFORMED);
        assertStatus(502, Outcome.FAILED, OutcomeReason.ENDPOINT_ERROR);
        assertStatus(502, Outcome.UNKNOWN, OutcomeReason.KEY_IN_USE);
        assertStatus(504, Outcome.DEADLINE_EXCEEDED, OutcomeReason.DEADLINE);
    }

    @Test
    void malformedRequestsAreRejectedBeforeTheHandler() throws Exception {
        HANDLER.set(
                (request, sink) -> {
                    throw new AssertionError("the request reached the handler");
                });
        assertRejected(400, request("{\"input\":"));
        assertRejected(400, request(""));
        assertRejected(400, request("[1]"));
        assertRejected(400, request("{\"input\":\"a\",\"maxTokens\":0}"));
        assertRejected(400, request("{\"input\":\"a\",\"maxTokens\":1.5}"));
        assertRejected(400, request(BODY).header("Sequoia-Deadline-Ms", "soon"));
        assertRejected(400, request(BODY).header("Sequoia-Deadline-Ms", "0"));
        assertRejected(400, request(BODY).header("Idempotency-Key", "k".repeat(201)));
        assertRejected(401, request(BODY).setHeader("Authorization", "Bearer acme"));
        assertRejected(401, request(BODY).setHeader("Authorization", "Basic YTpi"));
        assertRejected(413, request("x".repeat(1024 * 1024 + 1)));
    }

    @Test
    void streamHasEveryTokenAndEndsWithTheOutcome() throws Exception {
        CompletableFuture<Answer> end = new CompletableFuture<>();
        HANDLER.set(
                (request, sink) -> {
                    sink.accept(new Token(0, "a\nb"));
                    CompletableFuture.runAsync(
                            () -> {
                                sink.accept(new Token(1, "c"));
                                end.complete(answer(Outcome.FAILED, OutcomeReason.ENDPOINT_ERROR));
                            });
                    return end;
                });
        HttpResponse<String> response = send(request(BODY).header("Accept", "text/event-stream"));
        assertEquals(200, response.statusCode());
        assertEquals("text/event-stream", response.headers().firstValue("Content-Type").orElse(""));
        String[] events = response.body().split("\n\n");
        assertEquals("event: token\ndata: {\"position\":0,\"text\":\"a\\nb\"}", events[0]);
        assertEquals("event: token\ndata: {\"position\":1,\"text\":\"c\"}", events[1]);
        assertTrue(events[2].startsWith("event: outcome\ndata: {\"outcome\":\"FAILED\""));
        assertEquals(3, events.length);
    }

    @Test
    void streamingRequestThatWasNotRunHasItsOwnStatus() throws Exception {
        HANDLER.set(handlerAnswering(Outcome.NOT_RUN, OutcomeReason.OVER_LIMIT));
        HttpResponse<String> response = send(request(BODY).header("Accept", "text/event-stream"));
        assertEquals(429, response.statusCode());
        assertTrue(response.body().startsWith("event: outcome\ndata: {\"outcome\":\"NOT_RUN\""));
    }

    @Test
    void bufferOfASlowReaderIsBoundedAndItsConnectionIsClosed() throws Exception {
        CompletableFuture<Integer> acceptedCount = new CompletableFuture<>();
        HANDLER.set(
                (request, sink) -> {
                    CompletableFuture.runAsync(
                            () -> acceptedCount.complete(sendUntilRejected(sink)));
                    return acceptedCount.thenApply(
                            count -> answer(Outcome.FAILED, OutcomeReason.CALLER_GONE));
                });
        try (Socket socket = openStream()) {
            int count = acceptedCount.get(60, TimeUnit.SECONDS);
            assertTrue(count < MAX_UNREAD_TOKENS, count + " tokens of 1 kB were accepted");
            assertTrue(isClosedByServer(socket));
        }
    }

    @Test
    void tokenIsSentBeforeTheEndAndADisconnectedCallerIsNoticed() throws Exception {
        CompletableFuture<TokenSink> startedSink = new CompletableFuture<>();
        CompletableFuture<Answer> end = new CompletableFuture<>();
        HANDLER.set(
                (request, sink) -> {
                    startedSink.complete(sink);
                    return end;
                });
        try (Socket socket = openStream()) {
            assertTrue(startedSink.get(30, TimeUnit.SECONDS).accept(new Token(0, "a")));
            awaitString(socket, "\"text\":\"a\"");
        }
        long position = 1;
        while (startedSink.join().accept(new Token(position, "b"))) {
            assertTrue(position++ < 1_000_000, "the sink never rejected a token");
        }
        end.complete(answer(Outcome.FAILED, OutcomeReason.CALLER_GONE));
        HANDLER.set(handlerAnswering(Outcome.ANSWERED, OutcomeReason.NONE));
        assertEquals(200, send(request(BODY)).statusCode());
    }

    private static int sendUntilRejected(TokenSink sink) {
        int count = 0;
        while (count < 1_000_000 && sink.accept(new Token(count, "x".repeat(1000)))) {
            count++;
        }
        return count;
    }

    private static Socket openStream() throws IOException {
        Socket socket = new Socket("127.0.0.1", SERVER.port());
        OutputStream out = socket.getOutputStream();
        out.write(
                ("POST /v1/pipelines/chat HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer a:b\r\n"
                                + "Accept: text/event-stream\r\nContent-Length: "
                                + BODY.length()
                                + "\r\n\r\n"
                                + BODY)
                        .getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private static void awaitString(Socket socket, String text) throws IOException {
        socket.setSoTimeout(30_000);
        StringBuilder received = new StringBuilder();
        while (received.indexOf(text) < 0) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, received::toString);
            received.append((char) next);
        }
    }

    private static boolean isClosedByServer(Socket socket) {
        try {
            socket.setSoTimeout(30_000);
            return socket.getInputStream().skip(Long.MAX_VALUE) >= 0
                    && socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private static void assertStatus(int status, Outcome outcome, OutcomeReason reason)
            throws Exception {
        HANDLER.set(handlerAnswering(outcome, reason));
        HttpResponse<String> response = send(request(BODY));
        assertEquals(status, response.statusCode());
        assertTrue(response.body().contains("\"outcome\":\"" + outcome + "\""));
    }

    private static void assertRejected(int status, HttpRequest.Builder request) throws Exception {
        HttpResponse<String> response = send(request);
        assertEquals(status, response.statusCode(), response.body());
        assertTrue(response.body().contains("\"outcome\":\"NOT_RUN\""), response.body());
    }

    private static RequestHandler handlerAnswering(Outcome outcome, OutcomeReason reason) {
        CompletionStage<Answer> answer = CompletableFuture.completedFuture(answer(outcome, reason));
        return (request, sink) -> answer;
    }

    private static Answer answer(Outcome outcome, OutcomeReason reason) {
        return new Answer(
                new RequestId("r"),
                outcome,
                reason,
                "",
                "out",
                7,
                Vector.of(new AttemptReport("s", "g", "e", 1, "Completed", 2, 3)));
    }

    private static HttpRequest.Builder request(String body) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + SERVER.port() + "/v1/pipelines/chat"))
                .header("Authorization", "Bearer acme:se:cret")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private static HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
