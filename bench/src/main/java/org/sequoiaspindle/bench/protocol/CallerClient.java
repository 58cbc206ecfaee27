package org.sequoiaspindle.bench.protocol;

import io.vavr.collection.Vector;
import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.bench.state.RequestRecord;

/**
 * Sends requests to random entry instances. As a load balancer does, it tries the next instance if
 * one refuses the connection.
 */
public final class CallerClient {

    /** Time past the deadline in which an instance may still report the outcome. */
    private static final long GRACE_MS = 5000;

    private static final long NANOS_PER_MS = 1_000_000;

    private final HttpCaller http;
    private final Vector<String> instances;
    private final LongSupplier runNanos;
    private final LongSupplier unixMs;

    /**
     * Creates a client.
     *
     * @param instances addresses of all entry instances
     * @param runNanos time since the start of the run
     */
    public CallerClient(
            HttpCaller http, Vector<String> instances, LongSupplier runNanos, LongSupplier unixMs) {
        this.http = http;
        this.instances = instances;
        this.runNanos = runNanos;
        this.unixMs = unixMs;
    }

    /** Sends a request and records what came of it; never completes exceptionally. */
    public CompletableFuture<RequestRecord> send(PlannedRequest request) {
        String key = unixMs.getAsLong() + "-" + Integer.toHexString(request.draw());
        return send(request, key + "-" + request.atNanos(), 0);
    }

    private CompletableFuture<RequestRecord> send(
            PlannedRequest request, String key, int reroutes) {
        return http.send(order(request, key, reroutes))
                .handle(
                        (reply, failure) -> {
                            if (failure == null) {
                                return CompletableFuture.completedFuture(
                                        AnswerReader.read(
                                                request,
                                                runNanos.getAsLong(),
                                                reply.body(),
                                                reroutes));
                            }
                            return isRefused(failure) && reroutes + 1 < instances.size()
                                    ? send(request, key, reroutes + 1)
                                    : CompletableFuture.completedFuture(
                                            broken(request, failure, reroutes));
                        })
                .thenCompose(record -> record);
    }

    private HttpCaller.Order order(PlannedRequest request, String key, int reroutes) {
        long lateMs = Math.max(0, runNanos.getAsLong() - request.atNanos()) / NANOS_PER_MS;
        long leftMs = Math.max(1, request.kind().deadlineMs() - lateMs);
        String body =
                Json.object()
                        .put("input", request.input())
                        .put("maxTokens", request.maxTokens())
                        .toString();
        HttpCaller.Order order =
                HttpCaller.Order.of(
                                "POST",
                                instances.get((request.draw() + reroutes) % instances.size()),
                                "/v1/pipelines/" + request.kind().pipeline(),
                                body)
                        .as(Credentials.of(request.organisation()))
                        .with("Sequoia-Deadline-Ms", Long.toString(leftMs))
                        .within(leftMs + GRACE_MS);
        return request.kind() == RequestClass.PAYMENT ? order.with("Idempotency-Key", key) : order;
    }

    private RequestRecord broken(PlannedRequest request, Throwable failure, int reroutes) {
        return new RequestRecord(
                request,
                runNanos.getAsLong(),
                RequestRecord.TRANSPORT_ERROR,
                cause(failure).getClass().getSimpleName(),
                false,
                Vector.empty(),
                reroutes);
    }

    private static boolean isRefused(Throwable failure) {
        return cause(failure) instanceof ConnectException;
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException ? failure.getCause() : failure;
    }
}
