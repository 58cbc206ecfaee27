package org.sequoiaspindle.cli.transport;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;

/** Fake entry instance that records requests and sends scripted responses in order. */
final class FakeInstance implements AutoCloseable {

    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final AtomicReference<Vector<ScriptedResponse>> responses;
    private final AtomicReference<Vector<RecordedRequest>> recordedRequests =
            new AtomicReference<>(Vector.empty());

    private FakeInstance(Vector<ScriptedResponse> responses) {
        this.responses = new AtomicReference<>(responses);
        try {
            server =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
    }

    /** A request that the fake received. */
    record RecordedRequest(String method, String uri, Headers headers, String body) {}

    /** Sends a scripted response. */
    @FunctionalInterface
    interface ScriptedResponse {

        void send(HttpExchange exchange) throws IOException;
    }

    static FakeInstance respondingWith(ScriptedResponse... responses) {
        return new FakeInstance(Vector.of(responses));
    }

    static ScriptedResponse json(int status, String body) {
        return text(status, "application/json", body);
    }

    static ScriptedResponse events(String body) {
        return text(200, "text/event-stream", body);
    }

    /** Sends the beginning of an event stream, then closes the connection. */
    static ScriptedResponse closingAfter(String beginning) {
        return exchange -> {
            byte[] bytes = beginning.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            exchange.sendResponseHeaders(200, bytes.length + 100L);
            exchange.getResponseBody().write(bytes);
            exchange.getResponseBody().flush();
            throw new IOException("connection closed by the test");
        };
    }

    /** Never responds to the request. */
    static ScriptedResponse noResponse() {
        return exchange -> {};
    }

    private static ScriptedResponse text(int status, String type, String body) {
        return exchange -> {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", type);
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        };
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    Vector<RecordedRequest> recordedRequests() {
        return recordedRequests.get();
    }

    /** Records the request and sends the next response; repeats the last response at the end. */
    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        recordedRequests.updateAndGet(
                all ->
                        all.append(
                                new RecordedRequest(
                                        exchange.getRequestMethod(),
                                        exchange.getRequestURI().toString(),
                                        exchange.getRequestHeaders(),
                                        body)));
        responses
                .getAndUpdate(
                        remainingResponses ->
                                remainingResponses.size() > 1
                                        ? remainingResponses.tail()
                                        : remainingResponses)
                .head()
                .send(exchange);
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
