package org.sequoiaspindle.daemon.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;

/** HTTP client for calls with small responses, on one event loop. Thread-safe. */
public final class HttpCallClient {

    /**
     * A call.
     *
     * @param fields header fields other than host, content type and content length
     * @param body body, empty for none
     * @param timeoutMillis time after which the call fails and its connection is closed
     * @param maxResponseBytes size of a response body beyond which the call fails
     * @param maySend asked once the connection is open; if it returns false, nothing is sent
     * @param isOwnResponse returns whether a complete response certainly belongs to the call;
     *     otherwise the connection is not used again
     */
    public record Call(
            ConnectionPool.Destination destination,
            String method,
            String target,
            Map<String, String> fields,
            byte[] body,
            long timeoutMillis,
            int maxResponseBytes,
            BooleanSupplier maySend,
            Predicate<Response> isOwnResponse) {

        /** Creates a call to a server whose responses need no check. */
        public Call(
                ConnectionPool.Destination destination,
                String method,
                String target,
                Map<String, String> fields,
                byte[] body,
                long timeoutMillis,
                int maxResponseBytes) {
            this(
                    destination,
                    method,
                    target,
                    fields,
                    body,
                    timeoutMillis,
                    maxResponseBytes,
                    () -> true,
                    response -> true);
        }
    }

    /** A complete response. */
    public record Response(int status, Function<String, Optional<String>> field, byte[] body) {}

    /**
     * Failure of a call without a complete response.
     *
     * @param sent whether the server may have received the call
     */
    public record Failure(String reason, boolean sent) {}

    private final EventLoop loop;
    private final ConnectionPool pool;

    public HttpCallClient(EventLoop loop, ConnectionPool pool) {
        this.loop = loop;
        this.pool = pool;
    }

    /** Sends a call. The returned future completes on the event loop, and never exceptionally. */
    public CompletionStage<Either<Failure, Response>> execute(Call call) {
        CompletableFuture<Either<Failure, Response>> result = new CompletableFuture<>();
        if (loop.inEventLoop()) {
            beginCall(call, result);
        } else {
            loop.execute(() -> beginCall(call, result));
        }
        return result;
    }

    private void beginCall(Call call, CompletableFuture<Either<Failure, Response>> result) {
        pool.acquire(
                call.destination(),
                (connection, reason) -> {
                    if (connection == null) {
                        result.complete(Either.left(new Failure(reason, false)));
                        return;
                    }
                    if (!call.maySend().getAsBoolean()) {
                        connection.abort();
                        result.complete(Either.left(new Failure("withdrawn", false)));
                        return;
                    }
                    ResponseCollector collector = new ResponseCollector(connection, call, result);
                    collector.timeoutTimer =
                            loop.schedule(
                                    collector::expire, call.timeoutMillis(), TimeUnit.MILLISECONDS);
                    connection.send(head(call), Unpooled.wrappedBuffer(call.body()), collector);
                });
    }

    private static HttpRequest head(Call call) {
        HttpRequest head =
                new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()), call.target());
        head.headers().set(HttpHeaderNames.HOST, call.destination().address().toString());
        if (call.body().length > 0 || !call.method().equals("GET")) {
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        call.fields().forEach(head.headers()::set);
        return head;
    }

    /** Collects one response. */
    private static final class ResponseCollector implements ResponseListener {

        private final OutboundConnection connection;
        private final Call call;
        private final CompletableFuture<Either<Failure, Response>> result;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private HttpResponse response;
        private Response completeResponse;
        private ScheduledFuture<?> timeoutTimer;

        private ResponseCollector(
                OutboundConnection connection,
                Call call,
                CompletableFuture<Either<Failure, Response>> result) {
            this.connection = connection;
            this.call = call;
            this.result = result;
        }

        private void expire() {
            connection.abort();
            result.complete(Either.left(new Failure("no response in time", true)));
        }

        @Override
        public boolean head(HttpResponse head) {
            response = head;
            return true;
        }

        @Override
        public void content(ByteBuf bytes) {
            if (body.size() + bytes.readableBytes() > call.maxResponseBytes()) {
                timeoutTimer.cancel(false);
                connection.abort();
                result.complete(Either.left(new Failure("response too large", true)));
                return;
            }
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            body.writeBytes(copy);
        }

        @Override
        public boolean isOwnResponse() {
            HttpResponse head = response;
            completeResponse =
                    new Response(
                            head.status().code(),
                            name -> Optional.ofNullable(head.headers().get(name)),
                            body.toByteArray());
            return call.isOwnResponse().test(completeResponse);
        }

        @Override
        public void end() {
            timeoutTimer.cancel(false);
            result.complete(Either.right(completeResponse));
        }

        @Override
        public void failed(String reason) {
            timeoutTimer.cancel(false);
            result.complete(Either.left(new Failure(reason, true)));
        }
    }
}
