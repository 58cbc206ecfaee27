package org.sequoiaspindle.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** HTTP client of the tests. */
public final class StandinClient {

    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private StandinClient() {}

    /**
     * Sends a request and returns a future of the response.
     *
     * @param headers names and values, alternating
     */
    public static CompletableFuture<HttpResponse<String>> start(
            String method, String address, String path, String body, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofSeconds(Await.TIMEOUT_S))
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return HTTP.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public static HttpResponse<String> send(
            String method, String address, String path, String body, String... headers) {
        return start(method, address, path, body, headers).join();
    }

    /** Returns the value of the {@code Sequoia-Version} header. */
    public static long version(HttpResponse<String> response) {
        return response.headers().firstValueAsLong("Sequoia-Version").orElseThrow();
    }
}
