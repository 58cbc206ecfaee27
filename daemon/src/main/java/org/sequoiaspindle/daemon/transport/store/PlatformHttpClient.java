package org.sequoiaspindle.daemon.transport.store;

import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.net.URI;
import java.net.URL;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;
import reactor.core.publisher.Mono;
import reactor.util.context.Context;

/**
 * HTTP client of the platform. Uses one Micronaut client for each timeout, as Micronaut's client
 * takes its read timeout from its configuration. After a read timeout, Micronaut's client closes
 * the connection, which may never deliver data again.
 */
final class PlatformHttpClient implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 500;

    /**
     * Added to the timeout of the whole exchange, so that the read timeout, which closes the
     * connection, fires first.
     */
    private static final long TOTAL_TIMEOUT_MARGIN_MS = 100;

    /** Discards errors of connections whose exchange has already timed out. */
    private static final Context IGNORE_ERRORS_AFTER_TIMEOUT =
            Context.of("reactor.onErrorDropped.local", (Consumer<Throwable>) e -> {});

    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private final URL baseUrl;
    private final ConcurrentMap<Long, HttpClient> clientsByTimeout = new ConcurrentHashMap<>();

    /**
     * Creates a client without opening connections.
     *
     * @param address {@code ip:port} of the platform
     */
    PlatformHttpClient(String address) {
        this.baseUrl =
                Try.of(() -> URI.create("http://" + address).toURL())
                        .getOrElseThrow(
                                e -> new IllegalArgumentException("not an ip:port: " + address, e));
    }

    /**
     * Sends a request; returns the response with any status, or the reason why there is no
     * response.
     */
    CompletionStage<Either<String, HttpResponse<byte[]>>> exchange(
            HttpRequest<?> request, long timeoutMillis) {
        HttpClient client = clientsByTimeout.computeIfAbsent(timeoutMillis, this::createClient);
        Argument<byte[]> bytes = Argument.of(byte[].class);
        return Mono.defer(() -> Mono.from(client.exchange(request, bytes, bytes)))
                .timeout(Duration.ofMillis(timeoutMillis + TOTAL_TIMEOUT_MARGIN_MS))
                .map(Either::<String, HttpResponse<byte[]>>right)
                .onErrorResume(e -> Mono.just(Either.left(String.valueOf(e.getMessage()))))
                .switchIfEmpty(Mono.just(Either.left("no response")))
                .contextWrite(IGNORE_ERRORS_AFTER_TIMEOUT)
                .toFuture();
    }

    @Override
    public void close() {
        clientsByTimeout.values().forEach(HttpClient::close);
    }

    private HttpClient createClient(long timeoutMillis) {
        DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
        configuration.setConnectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS));
        configuration.setReadTimeout(Duration.ofMillis(timeoutMillis));
        configuration.setMaxContentLength(MAX_RESPONSE_BYTES);
        configuration.setExceptionOnErrorStatus(false);
        configuration.setFollowRedirects(false);
        configuration.setNumOfThreads(1);
        return HttpClient.create(baseUrl, configuration);
    }
}
