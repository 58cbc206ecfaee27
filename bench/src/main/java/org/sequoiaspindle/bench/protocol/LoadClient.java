package org.sequoiaspindle.bench.protocol;

import io.vavr.collection.Vector;
import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import org.sequoiaspindle.bench.state.MeasuredRequest;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;

/**
 * Sends requests to random entry instances. If an instance refuses the connection, the client tries
 * the next instance, as a load balancer does.
 */
public final class LoadClient {

    /** Additional time after the deadline for the instance to report the outcome. */
    private static final long OUTCOME_GRACE_MS = 5000;

    private static final long NANOS_PER_MS = 1_000_000;

    private final AsyncHttpClient http;
    private final Vector<String> instances;
    private final LongSupplier runNanos;
    private final LongSupplier unixMs;

    /**
     * Creates a client.
     *
     * @param instances addresses of all entry instances
     * @param runNanos supplies the time since the start of the run, in nanoseconds
     * @param unixMs supplies the Unix time in milliseconds, for idempotency keys
     */
    public LoadClient(
            AsyncHttpClient http,
            Vector<String> instances,
            LongSupplier runNanos,
            LongSupplier unixMs) {
        this.http = http;
        this.instances = instances;
        this.runNanos = runNanos;
        this.unixMs = unixMs;
    }

    /** Sends a request and returns the result. The future never completes exceptionally. */
    public CompletableFuture<MeasuredRequest> send(PlannedRequest request) {
        String key = unixMs.getAsLong() + "-" + Integer.toHexString(request.randomNumber());
        return send(request, key + "-" + request.plannedStartNanos(), 0);
    }

    private CompletableFuture<MeasuredRequest> send(
            PlannedRequest request, String key, int reroutes) {
        return http.send(toHttpRequest(request, key, reroutes))
                .handle(
                        (response, failure) -> {
                            if (failure == null) {
                                return CompletableFuture.completedFuture(
                                        PipelineResponseParser.parse(
                                                request,
                                                runNanos.getAsLong(),
                                                response.body(),
                                                reroutes));
                            }
                            return isConnectionRefused(failure) && reroutes + 1 < instances.size()
                                    ? send(request, key, reroutes + 1)
                                    : CompletableFuture.completedFuture(
                                            transportError(request, failure, reroutes));
                        })
                .thenCompose(record -> record);
    }

    private AsyncHttpClient.Request toHttpRequest(
            PlannedRequest request, String key, int reroutes) {
        long delayMs =
                Math.max(0, runNanos.getAsLong() - request.plannedStartNanos()) / NANOS_PER_MS;
        long remainingMs = Math.max(1, request.requestClass().deadlineMs() - delayMs);
        String body =
                BenchJson.object()
                        .put("input", request.input())
                        .put("maxTokens", request.maxTokens())
                        .toString();
        AsyncHttpClient.Request httpRequest =
                AsyncHttpClient.Request.of(
                                "POST",
                                instances.get(
                                        (request.randomNumber() + reroutes) % instances.size()),
                                "/v1/pipelines/" + request.requestClass().pipeline(),
                                body)
                        .withCredential(Credentials.nameAndSecret(request.organisation()))
                        .withHeader("Sequoia-Deadline-Ms", Long.toString(remainingMs))
                        .withTimeoutMs(remainingMs + OUTCOME_GRACE_MS);
        return request.requestClass() == RequestClass.PAYMENT
                ? httpRequest.withHeader("Idempotency-Key", key)
                : httpRequest;
    }

    private MeasuredRequest transportError(
            PlannedRequest request, Throwable failure, int reroutes) {
        return new MeasuredRequest(
                request,
                runNanos.getAsLong(),
                MeasuredRequest.TRANSPORT_ERROR,
                cause(failure).getClass().getSimpleName(),
                false,
                Vector.empty(),
                reroutes);
    }

    private static boolean isConnectionRefused(Throwable failure) {
        return cause(failure) instanceof ConnectException;
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException ? failure.getCause() : failure;
    }
}
