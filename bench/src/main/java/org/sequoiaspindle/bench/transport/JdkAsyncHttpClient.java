package org.sequoiaspindle.bench.transport;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.sequoiaspindle.bench.protocol.AsyncHttpClient;

/** Sends HTTP/1.1 requests with the HTTP client of the JDK. */
final class JdkAsyncHttpClient implements AsyncHttpClient {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    @Override
    public CompletableFuture<Response> send(Request request) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + request.address() + request.path()))
                        .timeout(Duration.ofMillis(request.timeoutMs()))
                        .method(
                                request.method(),
                                HttpRequest.BodyPublishers.ofString(request.body()));
        request.headers().forEach(header -> builder.header(header._1, header._2));
        return client.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Response(response.statusCode(), response.body()));
    }
}
