package org.sequoiaspindle.standins.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.sequoiaspindle.standins.coordination.SeededRandom;
import org.sequoiaspindle.standins.state.ImmutableBytes;
import org.sequoiaspindle.standins.state.RepeatedAnswers;
import org.sequoiaspindle.standins.state.ReplicaFault;

/**
 * HTTP interface of a replica on the users' platform: requests, streams (paths that contain {@code
 * /stream/}) and the pieces of stages. Thread-safe.
 */
public final class ReplicaFrontEnd {

    private static final String PROMPT_PREFIX_HEADER = "x-sequoiaspindle-prompt-prefix";
    private static final String ATTEMPT_ID_HEADER = "x-sequoiaspindle-attempt-id";
    private static final String EXPECTED_INSTANCE_HEADER = "x-sequoiaspindle-expect-instance";
    static final String NOT_EXECUTED_HEADER = "X-Sequoiaspindle-Not-Executed";
    private static final String LEAVING_HEADER = "Server-Leaving";
    private static final int EVENTS_PER_STREAM = 3;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Time for which a paused replica asks for no requests, in seconds. */
    private static final String PAUSE_SECONDS = "2.5";

    /**
     * Time from the first event of a truncated stream to the close of the connection, in
     * milliseconds.
     */
    private static final double STREAM_CUT_DELAY_MS = 20;

    private final String id;
    private final Supplier<String> address;
    private final long serviceMs;
    private final AtomicReference<ReplicaFault> fault = new AtomicReference<>(ReplicaFault.NONE);
    private final AtomicReference<RepeatedAnswers> repeatedAnswers =
            new AtomicReference<>(RepeatedAnswers.none());
    private final AtomicLong requestCount = new AtomicLong();
    private final AtomicReference<FatalPart> fatalPart = new AtomicReference<>();
    private final List<FullRequest> executedRequests = new CopyOnWriteArrayList<>();
    private final List<Long> arrivalTimes = new CopyOnWriteArrayList<>();
    private final AtomicLong pausedRequestCount = new AtomicLong();
    private final AtomicLong releaseCallCount = new AtomicLong();
    private final AtomicLong pieceCallCount = new AtomicLong();
    private final AtomicLong abandonedRequestCount = new AtomicLong();
    private final AtomicLong lastHandleNumber = new AtomicLong();
    private final Set<String> resultHandles = ConcurrentHashMap.newKeySet();

    private record FatalPart(String part, Runnable crash) {

        boolean isIn(FullRequest request) {
            return request.header(PROMPT_PREFIX_HEADER)
                    .filter(parts -> parts.contains(part + ":"))
                    .isPresent();
        }
    }

    /**
     * Creates a replica without a fault.
     *
     * @param address supplies the address of the replica, which is known once the server listens
     * @param serviceMs time from the arrival of a request or stage call to the response, in
     *     milliseconds
     */
    public ReplicaFrontEnd(String id, Supplier<String> address, long serviceMs) {
        this.id = id;
        this.address = address;
        this.serviceMs = serviceMs;
    }

    /** Crashes when it begins to answer a request with a prompt part. */
    public void crashOnPart(String part, Runnable crash) {
        fatalPart.set(new FatalPart(part, crash));
    }

    public void setFault(ReplicaFault value) {
        fault.set(value);
    }

    public void setRepeatedAnswers(RepeatedAnswers value) {
        repeatedAnswers.set(value);
    }

    /** Returns the executed requests in the order of arrival. */
    public List<FullRequest> executedRequests() {
        return List.copyOf(executedRequests);
    }

    /** Returns the times at which the executed requests arrived, on a monotonic clock. */
    public List<Long> arrivalTimes() {
        return List.copyOf(arrivalTimes);
    }

    /**
     * Returns the number of requests whose connection was closed before the end of the response.
     */
    public long abandonedRequestCount() {
        return abandonedRequestCount.get();
    }

    /** Returns the number of requests that were rejected with a request for a pause. */
    public long pausedRequestCount() {
        return pausedRequestCount.get();
    }

    /** Returns the number of calls that released results. */
    public long releaseCallCount() {
        return releaseCallCount.get();
    }

    /** Returns the number of stage calls, each of which may produce several pieces. */
    public long pieceCallCount() {
        return pieceCallCount.get();
    }

    /** Returns the handles of the results that the replica holds in memory. */
    public Set<String> resultHandles() {
        return Set.copyOf(resultHandles);
    }

    public HttpHandler handler() {
        return (request, responder) -> handle(request, withRepeat(responder));
    }

    private HttpResponder withRepeat(HttpResponder responder) {
        RepeatedAnswers repeats = repeatedAnswers.get();
        long number = requestCount.incrementAndGet();
        OptionalLong delayMs =
                repeats.delayMs(
                        SeededRandom.uniform(repeats.seed(), 2 * number),
                        SeededRandom.uniform(repeats.seed(), 2 * number + 1));
        return delayMs.isEmpty()
                ? responder
                : new RepeatingResponder(responder, repeats, delayMs.getAsLong());
    }

    private void handle(FullRequest request, HttpResponder responder) {
        if (request.header(EXPECTED_INSTANCE_HEADER)
                .filter(expected -> !expected.equals(id))
                .isPresent()) {
            responder.send(FullResponse.empty(421));
        } else if (request.path().equals("/api/stage-run")) {
            responder.scheduler().schedule(serviceMs, () -> makePieces(request, responder));
        } else if (request.path().equals("/api/stage-free")) {
            releaseCallCount.incrementAndGet();
            StandinJson.parse(request.body().toUtf8String())
                    .path("handles")
                    .forEach(handle -> resultHandles.remove(handle.asText()));
            responder.send(FullResponse.json(200, Map.of()));
        } else {
            execute(request, responder);
        }
    }

    private void execute(FullRequest request, HttpResponder responder) {
        ReplicaFault mode = fault.get();
        if (mode == ReplicaFault.NOT_EXECUTED) {
            responder.send(FullResponse.empty(503).withHeader(NOT_EXECUTED_HEADER, "1"));
            return;
        }
        if (mode == ReplicaFault.PAUSED) {
            pausedRequestCount.incrementAndGet();
            responder.send(pausedResponse());
            return;
        }
        // Set before the request is recorded, so that an immediate disconnect is also counted.
        responder.onDisconnect(abandonedRequestCount::incrementAndGet);
        arrivalTimes.add(System.nanoTime() / NANOS_PER_MILLI);
        executedRequests.add(request);
        FatalPart fatal = fatalPart.get();
        responder
                .scheduler()
                .schedule(
                        serviceMs,
                        fatal != null && fatal.isIn(request)
                                ? fatal.crash()
                                : () -> respond(mode, request, responder));
    }

    private void respond(ReplicaFault mode, FullRequest request, HttpResponder responder) {
        switch (mode) {
            case FAILED -> responder.send(sealed(500, request, "failed"));
            case HALF_ANSWER -> respondTruncated(request, responder);
            case NO_ANSWER -> responder.disconnect();
            case SILENT -> {
                // The client gets no response and closes the connection.
            }
            case LEAVING ->
                    responder.send(
                            sealed(200, request, responseBody(request))
                                    .withHeader(LEAVING_HEADER, "1"));
            case UNSEALED ->
                    responder.send(FullResponse.bytes(ImmutableBytes.of(responseBody(request))));
            case FOREIGN_ANSWER ->
                    responder.send(
                            sealed(200, request, "another answer")
                                    .withHeader("X-Sequoiaspindle-Attempt-Id", "another"));
            default -> respondSuccessfully(request, responder);
        }
    }

    private static void respondTruncated(FullRequest request, HttpResponder responder) {
        if (!request.path().contains("/stream/")) {
            responder.sendTruncated(sealed(200, request, responseBody(request)));
            return;
        }
        responder.startStream(sealed(200, request, "").headers());
        responder.sendEvent("token", "piece 0 of " + attemptIdOf(request));
        responder.scheduler().schedule(STREAM_CUT_DELAY_MS, responder::disconnect);
    }

    private void respondSuccessfully(FullRequest request, HttpResponder responder) {
        if (!request.path().contains("/stream/")) {
            responder.send(sealed(200, request, responseBody(request)));
            return;
        }
        responder.startStream(sealed(200, request, "").headers());
        for (int event = 0; event < EVENTS_PER_STREAM; event++) {
            responder.sendEvent("token", "piece " + event + " of " + attemptIdOf(request));
        }
        responder.endStream();
    }

    private void makePieces(FullRequest request, HttpResponder responder) {
        pieceCallCount.incrementAndGet();
        if (fault.get() == ReplicaFault.PAUSED) {
            responder.send(pausedResponse());
            return;
        }
        List<Map<String, String>> items = new ArrayList<>();
        for (JsonNode item : StandinJson.parse(request.body().toUtf8String()).path("items")) {
            items.add(makePiece(item));
        }
        FullResponse response = FullResponse.json(200, Map.of("items", items));
        responder.send(
                fault.get() == ReplicaFault.LEAVING
                        ? response.withHeader(LEAVING_HEADER, "1")
                        : response);
    }

    private static FullResponse pausedResponse() {
        return FullResponse.empty(503)
                .withHeader(NOT_EXECUTED_HEADER, "1")
                .withHeader("Retry-After", PAUSE_SECONDS);
    }

    private Map<String, String> makePiece(JsonNode item) {
        if (!item.path("key").isTextual() && item.path("inputs").isEmpty()) {
            return Map.of("reason", "error");
        }
        if (fault.get() == ReplicaFault.NO_ROOM) {
            return Map.of("reason", "room");
        }
        String handle = address.get() + "/" + Long.toHexString(lastHandleNumber.incrementAndGet());
        resultHandles.add(handle);
        return Map.of("handle", handle);
    }

    /** Returns a response with the attempt id, seal and load headers of a replica. */
    private static FullResponse sealed(int status, FullRequest request, String body) {
        Map<String, String> headers = new HashMap<>();
        headers.put("X-Sequoiaspindle-Attempt-Id", attemptIdOf(request));
        headers.put("X-Sequoiaspindle-Response-Seal", "seal-" + attemptIdOf(request));
        headers.put("X-Sequoiaspindle-Instance-Load", "1,0,4");
        return new FullResponse(status, headers, ImmutableBytes.of(body));
    }

    private static String responseBody(FullRequest request) {
        return "answer to " + attemptIdOf(request) + " with " + request.body().toUtf8String();
    }

    private static String attemptIdOf(FullRequest request) {
        return request.header(ATTEMPT_ID_HEADER).orElse("none");
    }
}
