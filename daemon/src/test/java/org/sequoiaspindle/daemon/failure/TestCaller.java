package org.sequoiaspindle.daemon.failure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

/** Client of one organisation: sends requests to instances and reads the complete responses. */
final class TestCaller {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final String organisation;

    TestCaller(String organisation) {
        this.organisation = organisation;
    }

    /** Returns a new idempotency key. */
    static String newKey() {
        return System.currentTimeMillis() + "-" + UUID.randomUUID();
    }

    /** Sends a payment with an idempotency key. */
    CompletableFuture<CallerReply> pay(
            DaemonProcess instance, String input, String key, long deadlineMs) {
        return send(
                request(instance, "payment", input, 1, deadlineMs).header("Idempotency-Key", key));
    }

    /** Sends a payment without an idempotency key. */
    CompletableFuture<CallerReply> pay(DaemonProcess instance, String input, long deadlineMs) {
        return send(request(instance, "payment", input, 1, deadlineMs));
    }

    /** Sends a request whose only stage is idempotent. */
    CompletableFuture<CallerReply> lookUp(DaemonProcess instance, String input, long deadlineMs) {
        return send(request(instance, "lookup", input, 1, deadlineMs));
    }

    /** Sends a chat request with a streamed response. */
    CompletableFuture<CallerReply> chat(
            DaemonProcess instance, String input, int tokens, long deadlineMs) {
        return send(
                request(instance, "chat", input, tokens, deadlineMs)
                        .header("Accept", "text/event-stream"));
    }

    /** Sends a chat request with a response that is not streamed. */
    CompletableFuture<CallerReply> chatWhole(
            DaemonProcess instance, String input, int tokens, long deadlineMs) {
        return send(request(instance, "chat", input, tokens, deadlineMs));
    }

    private HttpRequest.Builder request(
            DaemonProcess instance, String pipeline, String input, int tokens, long deadlineMs) {
        String body =
                MAPPER.createObjectNode().put("input", input).put("maxTokens", tokens).toString();
        return HttpRequest.newBuilder(
                        URI.create(
                                "http://" + instance.httpAddress() + "/v1/pipelines/" + pipeline))
                .header(
                        "Authorization",
                        "Bearer " + organisation + ":" + TestObjectSets.secret(organisation))
                .header("Sequoia-Deadline-Ms", Long.toString(deadlineMs))
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private static CompletableFuture<CallerReply> send(HttpRequest.Builder request) {
        return CLIENT.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .handle(
                        (response, failure) ->
                                failure == null
                                        ? toReply(response)
                                        : CallerReply.incomplete(failure));
    }

    private static CallerReply toReply(HttpResponse<String> response) {
        String contentType = response.headers().firstValue("Content-Type").orElse("");
        return contentType.startsWith("text/event-stream")
                ? toStreamReply(response)
                : new CallerReply(
                        response.statusCode(),
                        json(response.body()),
                        List.of(),
                        List.of(),
                        Optional.empty());
    }

    private static CallerReply toStreamReply(HttpResponse<String> response) {
        List<String> events = new ArrayList<>();
        List<JsonNode> tokens = new ArrayList<>();
        JsonNode outcome = MissingNode.getInstance();
        for (String line : response.body().split("\r?\n")) {
            if (line.startsWith("event:")) {
                events.add(line.substring("event:".length()).strip());
            }
            if (!line.startsWith("data:")) {
                continue;
            }
            JsonNode data = json(line.substring("data:".length()));
            if (events.get(events.size() - 1).equals("token")) {
                tokens.add(data);
            } else {
                outcome = data;
            }
        }
        return new CallerReply(
                response.statusCode(),
                outcome,
                List.copyOf(events),
                List.copyOf(tokens),
                Optional.empty());
    }

    static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + text, e);
        }
    }
}
