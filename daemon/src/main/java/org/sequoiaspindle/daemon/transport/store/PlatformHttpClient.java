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
 * HTTP exchanges with the platform. Each time limit has a client of its own because Micronaut's
 * client takes the limit from its configuration; past the limit it closes the connection, which may
 * have gone silent for good.
 */
final class PlatformHttpClient implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 500;

    /** Lets the limit on silence, which closes the connection, fire before the total one. */
    private static final long TOTAL_TIMEOUT_MARGIN_MS = 100;

    /** A connection that fails after its exchange was given up is no news. */
    private static final Context IGNORE_ERRORS_AFTER_TIMEOUT =
            Context.of("reactor.onErrorDropped.local", (Consumer<Throwable>) e -> {});

    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private final URL baseUrl;
    private final ConcurrentMap<Long, HttpClient> clientsByTimeout = new ConcurrentHashMap<>();

    /**
     * Creates a client without connections.
     *
     * @param address {@code ip:port} of the platform
     */
    PlatformHttpClient(String address) {
        this.baseUrl =
                Try.of(() -> URI.create("http://" + address).toURL())
                        .getOrElseThrow(
                                e -> new IllegalArgumentException("not an ip:port: " + address, e));
    }

    /** Answer of any status, or the reason why there is none. */
    CompletionStage<Either<String, HttpResponse<byte[]>>> exchange(
            HttpRequest<?> request, long timeoutMillis) {
        HttpClient client = clientsByTimeout.computeIfAbsent(timeoutMillis, this::createClient);
        Argument<byte[]> bytes = Argument.of(byte[].class);
        return Mono.defer(() -> Mono.from(client.exchange(request, bytes, bytes)))
                .timeout(Duration.ofMillis(timeoutMillis + TOTAL_TIMEOUT_MARGIN_MS))
                .map(Either::<String, HttpResponse<byte[]>>right)
                .onErrorResume(e -> Mono.just(Either.left(String.valueOf(e.getMessage()))))
                .switchIfEmpty(Mono.just(Either.left("no answer")))
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
