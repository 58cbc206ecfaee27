package org.sequoiaspindle.bench.protocol;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Sends HTTP requests. The future completes exceptionally if the connection cannot be established
 * or is lost.
 */
@FunctionalInterface
public interface AsyncHttpClient {

    CompletableFuture<Response> send(Request request);

    /**
     * An HTTP request.
     *
     * @param address {@code ip:port}
     * @param timeoutMs time after which the request fails, in milliseconds
     */
    record Request(
            String method,
            String address,
            String path,
            Map<String, String> headers,
            String body,
            long timeoutMs) {

        private static final long DEFAULT_TIMEOUT_MS = 10_000;

        /** A request without headers. */
        public static Request of(String method, String address, String path, String body) {
            return new Request(
                    method, address, path, LinkedHashMap.empty(), body, DEFAULT_TIMEOUT_MS);
        }

        /** This request with a credential. */
        public Request withCredential(String credential) {
            return withHeader("Authorization", "Bearer " + credential);
        }

        /** This request with one more header. */
        public Request withHeader(String name, String value) {
            return new Request(method, address, path, headers.put(name, value), body, timeoutMs);
        }

        /** This request with another body. */
        public Request withBody(String text) {
            return new Request(method, address, path, headers, text, timeoutMs);
        }

        /** This request with another timeout. */
        public Request withTimeoutMs(long millis) {
            return new Request(method, address, path, headers, body, millis);
        }
    }

    /** An HTTP response with any status. */
    record Response(int status, String body) {}
}
