package org.sequoiaspindle.bench.protocol;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Sends HTTP requests. The future completes exceptionally if the connection cannot be established
 * or is lost, or if the timeout expires.
 */
@FunctionalInterface
public interface AsyncHttpClient {

    /** Sends a request and returns a future of the response. */
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

        /** Creates a request without headers and with the default timeout. */
        public static Request of(String method, String address, String path, String body) {
            return new Request(
                    method, address, path, LinkedHashMap.empty(), body, DEFAULT_TIMEOUT_MS);
        }

        /** Returns a copy of the request with a credential. */
        public Request withCredential(String credential) {
            return withHeader("Authorization", "Bearer " + credential);
        }

        /** Returns a copy of the request with an additional header. */
        public Request withHeader(String name, String value) {
            return new Request(method, address, path, headers.put(name, value), body, timeoutMs);
        }

        /** Returns a copy of the request with another body. */
        public Request withBody(String newBody) {
            return new Request(method, address, path, headers, newBody, timeoutMs);
        }

        /** Returns a copy of the request with another timeout. */
        public Request withTimeoutMs(long newTimeoutMs) {
            return new Request(method, address, path, headers, body, newTimeoutMs);
        }
    }

    /** An HTTP response with any status. */
    record Response(int status, String body) {}
}
