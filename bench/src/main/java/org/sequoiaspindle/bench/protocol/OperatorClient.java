package org.sequoiaspindle.bench.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Iterator;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

/** Sends operator requests to entry instances and admin requests to stand-ins. */
public final class OperatorClient {

    private static final String METRIC_LINE = "(?m)^%s(\\{[^}]*\\})? ([0-9.eE+-]+)$";

    private final AsyncHttpClient http;

    public OperatorClient(AsyncHttpClient http) {
        this.http = http;
    }

    /**
     * Publishes an object set.
     *
     * @return the new generation; completes exceptionally if the set is not published
     */
    public CompletableFuture<Long> publish(String instance, long base, String document) {
        String path =
                "/v1/configuration?base=%d&submission=bench-%d-%d"
                        .formatted(base, base, System.nanoTime());
        return http.send(
                        AsyncHttpClient.Request.of("PUT", instance, path, document)
                                .withCredential(Credentials.nameAndSecret(Credentials.OPERATOR)))
                .thenApply(response -> requireStatus(200, response, "publication"))
                .thenApply(
                        response -> BenchJson.parse(response.body()).path("generation").asLong());
    }

    /**
     * Reads the active generation of an instance. Returns -1 if the instance does not report a
     * generation.
     */
    public CompletableFuture<Long> readGeneration(String instance) {
        return http.send(
                        AsyncHttpClient.Request.of("GET", instance, "/v1/status", "")
                                .withCredential(Credentials.nameAndSecret(Credentials.OPERATOR)))
                .thenApply(
                        response ->
                                response.status() == 200
                                        ? BenchJson.parse(response.body())
                                                .path("generation")
                                                .asLong(-1)
                                        : -1);
    }

    /** Returns true if the instance reports that it is ready. */
    public CompletableFuture<Boolean> isReady(String instance) {
        return http.send(AsyncHttpClient.Request.of("GET", instance, "/health/ready", ""))
                .thenApply(response -> response.status() == 200);
    }

    /**
     * Reads a metric of an instance, summed over all labels. Returns 0 if the metric is not
     * exported.
     */
    public CompletableFuture<Double> readMetric(String instance, String name) {
        return http.send(AsyncHttpClient.Request.of("GET", instance, "/metrics", ""))
                .thenApply(
                        response ->
                                Pattern.compile(METRIC_LINE.formatted(name))
                                        .matcher(response.body())
                                        .results()
                                        .mapToDouble(line -> Double.parseDouble(line.group(2)))
                                        .sum());
    }

    /** Posts an admin command to a stand-in. */
    public CompletableFuture<Void> postAdmin(String standin, String path, JsonNode body) {
        return http.send(AsyncHttpClient.Request.of("POST", standin, path, body.toString()))
                .thenAccept(response -> requireStatus(204, response, path));
    }

    /** Reads an admin resource of a stand-in. */
    public CompletableFuture<JsonNode> readAdmin(String standin, String path) {
        return http.send(AsyncHttpClient.Request.of("GET", standin, path, ""))
                .thenApply(response -> BenchJson.parse(requireStatus(200, response, path).body()));
    }

    /** Reads the value of a key in the platform's store. */
    public CompletableFuture<String> readStoreValue(String platform, String key) {
        return http.send(AsyncHttpClient.Request.of("GET", platform, "/v1/kv/" + key, ""))
                .thenApply(response -> requireStatus(200, response, key).body());
    }

    /** Returns the integer fields of a JSON object. */
    public static Map<String, Long> integerFields(JsonNode object) {
        return Iterator.ofAll(object.fields())
                .filter(field -> field.getValue().isIntegralNumber())
                .foldLeft(
                        LinkedHashMap.<String, Long>empty(),
                        (integerFields, field) ->
                                integerFields.put(field.getKey(), field.getValue().asLong()));
    }

    private static AsyncHttpClient.Response requireStatus(
            int status, AsyncHttpClient.Response response, String operation) {
        if (response.status() != status) {
            throw new IllegalStateException(
                    operation + " failed with status " + response.status() + " " + response.body());
        }
        return response;
    }
}
