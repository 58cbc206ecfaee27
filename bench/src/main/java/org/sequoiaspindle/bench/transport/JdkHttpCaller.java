package org.sequoiaspindle.bench.transport;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.sequoiaspindle.bench.protocol.HttpCaller;

/** Sends HTTP/1.1 requests with the client of the JDK. */
final class JdkHttpCaller implements HttpCaller {

    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(2);

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_LIMIT)
                    .build();

    @Override
    public CompletableFuture<Reply> send(Order order) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + order.address() + order.path()))
                        .timeout(Duration.ofMillis(order.limitMs()))
                        .method(order.method(), HttpRequest.BodyPublishers.ofString(order.body()));
        order.headers().forEach(header -> request.header(header._1, header._2));
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Reply(response.statusCode(), response.body()));
    }
}
