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

/** Stands in for an entry instance: records requests and gives the scripted answers in turn. */
final class FakeInstance implements AutoCloseable {

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicReference<Vector<Script>> scripts;
    private final AtomicReference<Vector<Received>> received =
            new AtomicReference<>(Vector.empty());

    private FakeInstance(Vector<Script> scripts) {
        this.scripts = new AtomicReference<>(scripts);
        try {
            server =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    /** What the fake was asked. */
    record Received(String method, String uri, Headers headers, String body) {}

    /** Gives one answer. */
    @FunctionalInterface
    interface Script {

        void answer(HttpExchange exchange) throws IOException;
    }

    static FakeInstance answering(Script... scripts) {
        return new FakeInstance(Vector.of(scripts));
    }

    static Script json(int status, String body) {
        return text(status, "application/json", body);
    }

    static Script events(String body) {
        return text(200, "text/event-stream", body);
    }

    /** Sends the beginning of an event stream and cuts the connection. */
    static Script cutAfter(String beginning) {
        return exchange -> {
            byte[] bytes = beginning.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            exchange.sendResponseHeaders(200, bytes.length + 100L);
            exchange.getResponseBody().write(bytes);
            exchange.getResponseBody().flush();
            throw new IOException("cut");
        };
    }

    /** Never answers. */
    static Script silent() {
        return exchange -> {};
    }

    private static Script text(int status, String type, String body) {
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

    Vector<Received> received() {
        return received.get();
    }

    /** The last script answers all further requests. */
    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        received.updateAndGet(
                all ->
                        all.append(
                                new Received(
                                        exchange.getRequestMethod(),
                                        exchange.getRequestURI().toString(),
                                        exchange.getRequestHeaders(),
                                        body)));
        scripts.getAndUpdate(left -> left.size() > 1 ? left.tail() : left).head().answer(exchange);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
