package org.sequoiaspindle.bench.protocol;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import java.util.concurrent.CompletableFuture;

/** Sends HTTP requests; a connection that cannot be made or breaks completes it exceptionally. */
@FunctionalInterface
public interface HttpCaller {

    CompletableFuture<Reply> send(Order order);

    /**
     * A request.
     *
     * @param address {@code ip:port}
     * @param limitMs time after which the request fails
     */
    record Order(
            String method,
            String address,
            String path,
            Map<String, String> headers,
            String body,
            long limitMs) {

        private static final long DEFAULT_LIMIT_MS = 10_000;

        /** A request without headers. */
        public static Order of(String method, String address, String path, String body) {
            return new Order(method, address, path, LinkedHashMap.empty(), body, DEFAULT_LIMIT_MS);
        }

        /** This request with a credential. */
        public Order as(String credential) {
            return with("Authorization", "Bearer " + credential);
        }

        /** This request with one more header. */
        public Order with(String name, String value) {
            return new Order(method, address, path, headers.put(name, value), body, limitMs);
        }

        /** This request with another body. */
        public Order withBody(String text) {
            return new Order(method, address, path, headers, text, limitMs);
        }

        /** This request with another limit. */
        public Order within(long millis) {
            return new Order(method, address, path, headers, body, millis);
        }
    }

    /** An answer, whatever its status. */
    record Reply(int status, String body) {}
}
