package org.sequoiaspindle.standins.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.sequoiaspindle.standins.state.Content;
import org.sequoiaspindle.standins.state.ReplicaFault;

/**
 * HTTP conversation of a replica on the users' platform: requests, streams (paths with {@code
 * /stream/}) and pieces of stages. Thread-safe.
 */
public final class ReplicaFrontend {

    private static final String REQUEST_ID = "x-sequoiaspindle-attempt-id";
    private static final String EXPECTED = "x-sequoiaspindle-expect-instance";
    private static final String NOT_EXECUTED = "X-Sequoiaspindle-Not-Executed";
    private static final int EVENTS = 3;

    /** Time after which a stream that breaks off does so, in milliseconds. */
    private static final double HALF_MS = 20;

    private final String id;
    private final Supplier<String> address;
    private final long serviceMs;
    private final AtomicReference<ReplicaFault> fault = new AtomicReference<>(ReplicaFault.NONE);
    private final List<HttpCall> runs = new CopyOnWriteArrayList<>();
    private final AtomicLong pieceCalls = new AtomicLong();
    private final AtomicLong abandoned = new AtomicLong();
    private final AtomicLong handleNumber = new AtomicLong();
    private final Set<String> results = ConcurrentHashMap.newKeySet();

    /**
     * A replica that works.
     *
     * @param address its address, known once it listens
     * @param serviceMs time that a request or a call takes
     */
    public ReplicaFrontend(String id, Supplier<String> address, long serviceMs) {
        this.id = id;
        this.address = address;
        this.serviceMs = serviceMs;
    }

    public void fault(ReplicaFault value) {
        fault.set(value);
    }

    /** Requests that it has run, in the order in which they came. */
    public List<HttpCall> runs() {
        return List.copyOf(runs);
    }

    /** Requests whose connection was closed before they had ended. */
    public long abandoned() {
        return abandoned.get();
    }

    /** Calls that made pieces. */
    public long pieceCalls() {
        return pieceCalls.get();
    }

    /** Handles of the results that it holds. */
    public Set<String> results() {
        return Set.copyOf(results);
    }

    public HttpHandler handler() {
        return (call, exchange) -> {
            if (call.header(EXPECTED).filter(expected -> !expected.equals(id)).isPresent()) {
                exchange.answer(HttpReply.empty(421));
            } else if (call.path().equals("/api/stage-run")) {
                exchange.timer().after(serviceMs, () -> makePieces(call, exchange));
            } else if (call.path().equals("/api/stage-free")) {
                Json.parse(call.body().text())
                        .path("handles")
                        .forEach(handle -> results.remove(handle.asText()));
                exchange.answer(HttpReply.json(200, Map.of()));
            } else {
                serve(call, exchange);
            }
        };
    }

    private void serve(HttpCall call, Exchange exchange) {
        ReplicaFault mode = fault.get();
        if (mode == ReplicaFault.NOT_EXECUTED) {
            exchange.answer(HttpReply.empty(503).withHeader(NOT_EXECUTED, "1"));
            return;
        }
        // Before the run counts, so that a client that leaves at once is not missed.
        exchange.onDisconnect(abandoned::incrementAndGet);
        runs.add(call);
        exchange.timer().after(serviceMs, () -> answer(mode, call, exchange));
    }

    private void answer(ReplicaFault mode, HttpCall call, Exchange exchange) {
        switch (mode) {
            case FAILED -> exchange.answer(sealed(500, call, "failed"));
            case HALF_ANSWER -> answerHalf(call, exchange);
            case NO_ANSWER -> exchange.disconnect();
            case SILENT -> {
                // Ends with the connection.
            }
            case UNSEALED -> exchange.answer(HttpReply.bytes(Content.of(body(call))));
            case FOREIGN_ANSWER ->
                    exchange.answer(
                            sealed(200, call, "another answer")
                                    .withHeader("X-Sequoiaspindle-Attempt-Id", "another"));
            default -> succeed(call, exchange);
        }
    }

    private static void answerHalf(HttpCall call, Exchange exchange) {
        if (!call.path().contains("/stream/")) {
            exchange.answerHalf(sealed(200, call, body(call)));
            return;
        }
        exchange.openStream(sealed(200, call, "").headers());
        exchange.event("token", "piece 0 of " + idOf(call));
        exchange.timer().after(HALF_MS, exchange::disconnect);
    }

    private void succeed(HttpCall call, Exchange exchange) {
        if (!call.path().contains("/stream/")) {
            exchange.answer(sealed(200, call, body(call)));
            return;
        }
        exchange.openStream(sealed(200, call, "").headers());
        for (int event = 0; event < EVENTS; event++) {
            exchange.event("token", "piece " + event + " of " + idOf(call));
        }
        exchange.closeStream();
    }

    private void makePieces(HttpCall call, Exchange exchange) {
        pieceCalls.incrementAndGet();
        List<Map<String, String>> items = new ArrayList<>();
        for (JsonNode item : Json.parse(call.body().text()).path("items")) {
            items.add(make(item));
        }
        exchange.answer(HttpReply.json(200, Map.of("items", items)));
    }

    private Map<String, String> make(JsonNode item) {
        if (!item.path("key").isTextual() && item.path("inputs").isEmpty()) {
            return Map.of("reason", "error");
        }
        if (fault.get() == ReplicaFault.NO_ROOM) {
            return Map.of("reason", "room");
        }
        String handle = address.get() + "/" + Long.toHexString(handleNumber.incrementAndGet());
        results.add(handle);
        return Map.of("handle", handle);
    }

    private static HttpReply sealed(int status, HttpCall call, String body) {
        Map<String, String> headers = new HashMap<>();
        headers.put("X-Sequoiaspindle-Attempt-Id", idOf(call));
        headers.put("X-Sequoiaspindle-Response-Seal", "seal-" + idOf(call));
        headers.put("X-Sequoiaspindle-Instance-Load", "1,0,4");
        return new HttpReply(status, headers, Content.of(body));
    }

    private static String body(HttpCall call) {
        return "answer to " + idOf(call) + " with " + call.body().text();
    }

    private static String idOf(HttpCall call) {
        return call.header(REQUEST_ID).orElse("none");
    }
}
