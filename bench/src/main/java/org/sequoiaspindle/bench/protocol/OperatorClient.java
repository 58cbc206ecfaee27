package org.sequoiaspindle.bench.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Iterator;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

/** Orders and questions of an operator to entry instances and to stand-ins. */
public final class OperatorClient {

    private static final String METRIC_LINE = "(?m)^%s(\\{[^}]*\\})? ([0-9.eE+-]+)$";

    private final HttpCaller http;

    public OperatorClient(HttpCaller http) {
        this.http = http;
    }

    /**
     * Publishes a set.
     *
     * @return the new generation; fails if the set is not published
     */
    public CompletableFuture<Long> publish(String instance, long base, String document) {
        String path =
                "/v1/configuration?base=%d&submission=bench-%d-%d"
                        .formatted(base, base, System.nanoTime());
        return http.send(
                        HttpCaller.Order.of("PUT", instance, path, document)
                                .as(Credentials.of(Credentials.OPERATOR)))
                .thenApply(reply -> expect(200, reply, "publication"))
                .thenApply(reply -> Json.parse(reply.body()).path("generation").asLong());
    }

    /** Generation in force on an instance, -1 if it does not say. */
    public CompletableFuture<Long> generation(String instance) {
        return http.send(
                        HttpCaller.Order.of("GET", instance, "/v1/status", "")
                                .as(Credentials.of(Credentials.OPERATOR)))
                .thenApply(
                        reply ->
                                reply.status() == 200
                                        ? Json.parse(reply.body()).path("generation").asLong(-1)
                                        : -1);
    }

    /** Whether an instance reports that it is ready. */
    public CompletableFuture<Boolean> isReady(String instance) {
        return http.send(HttpCaller.Order.of("GET", instance, "/health/ready", ""))
                .thenApply(reply -> reply.status() == 200);
    }

    /** Sum of a metric of an instance over all labels, 0 if it does not report it. */
    public CompletableFuture<Double> metric(String instance, String name) {
        return http.send(HttpCaller.Order.of("GET", instance, "/metrics", ""))
                .thenApply(
                        reply ->
                                Pattern.compile(METRIC_LINE.formatted(name))
                                        .matcher(reply.body())
                                        .results()
                                        .mapToDouble(line -> Double.parseDouble(line.group(2)))
                                        .sum());
    }

    /** Gives an order to a stand-in. */
    public CompletableFuture<Void> order(String standin, String path, JsonNode body) {
        return http.send(HttpCaller.Order.of("POST", standin, path, body.toString()))
                .thenAccept(reply -> expect(204, reply, path));
    }

    /** A report of a stand-in. */
    public CompletableFuture<JsonNode> report(String standin, String path) {
        return http.send(HttpCaller.Order.of("GET", standin, path, ""))
                .thenApply(reply -> Json.parse(expect(200, reply, path).body()));
    }

    /** Size of the value of a key of the platform's store, in bytes, and its text. */
    public CompletableFuture<String> storeValue(String platform, String key) {
        return http.send(HttpCaller.Order.of("GET", platform, "/v1/kv/" + key, ""))
                .thenApply(reply -> expect(200, reply, key).body());
    }

    /** Whole-number fields of a JSON object. */
    public static Map<String, Long> counts(JsonNode object) {
        return Iterator.ofAll(object.fields())
                .filter(field -> field.getValue().isIntegralNumber())
                .foldLeft(
                        LinkedHashMap.<String, Long>empty(),
                        (counts, field) -> counts.put(field.getKey(), field.getValue().asLong()));
    }

    private static HttpCaller.Reply expect(int status, HttpCaller.Reply reply, String what) {
        if (reply.status() != status) {
            throw new IllegalStateException(
                    what + " was answered with " + reply.status() + " " + reply.body());
        }
        return reply;
    }
}
