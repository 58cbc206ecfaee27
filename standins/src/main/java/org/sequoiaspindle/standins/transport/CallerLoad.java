package org.sequoiaspindle.standins.transport;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiaspindle.standins.state.CallerOptions;

/**
 * Stand-in for callers of the deployment that {@link UsersPlatformServer} serves: look-ups,
 * payments and streams with a stage, at a fixed rate.
 */
final class CallerLoad {

    private static final String DEADLINE_MS = "5000";
    private static final String PROMPT = "p".repeat(2_000);

    /** Out of ten requests, the first are look-ups, the next payments, and the rest streams. */
    private static final int REQUESTS_PER_ROUND = 10;

    private static final int LOOK_UPS_PER_ROUND = 2;
    private static final int PAYMENTS_PER_ROUND = 2;

    private final CallerOptions options;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicLong sent = new AtomicLong();
    private final ConcurrentMap<String, AtomicLong> results = new ConcurrentHashMap<>();

    private CallerLoad(CallerOptions options) {
        this.options = options;
    }

    /** Sends the requests and returns the number of responses by status. */
    static Map<String, Object> run(CallerOptions options) {
        return new CallerLoad(options).run();
    }

    private Map<String, Object> run() {
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        long intervalMicros = TimeUnit.SECONDS.toMicros(1) / options.requestsPerSecond();
        scheduler.scheduleAtFixedRate(this::sendNext, 0, intervalMicros, TimeUnit.MICROSECONDS);
        CompletableFuture<Void> finished = new CompletableFuture<>();
        scheduler.schedule(() -> finished.complete(null), options.seconds(), TimeUnit.SECONDS);
        finished.join();
        scheduler.shutdownNow();
        return new TreeMap<>(results);
    }

    private void sendNext() {
        long number = sent.getAndIncrement();
        client.sendAsync(request(number), HttpResponse.BodyHandlers.ofString())
                .handle(
                        (response, failure) ->
                                failure == null ? "" + response.statusCode() : "no response")
                .thenAccept(
                        result ->
                                results.computeIfAbsent(result, key -> new AtomicLong())
                                        .incrementAndGet());
    }

    private HttpRequest request(long number) {
        String target = options.targets().get((int) (number % options.targets().size()));
        int kind = (int) (number / options.targets().size() % REQUESTS_PER_ROUND);
        if (kind < LOOK_UPS_PER_ROUND) {
            return request(target, "/lookup/permit", number).build();
        }
        if (kind < LOOK_UPS_PER_ROUND + PAYMENTS_PER_ROUND) {
            return request(target, "/fee/permit", number)
                    .POST(HttpRequest.BodyPublishers.ofString("fee"))
                    .build();
        }
        return request(target, "/stream/chat", number)
                .header("X-Sequoiaspindle-Model", "m")
                .header("X-Sequoiaspindle-Token-Usage", "600,80")
                .header(
                        "X-Sequoiaspindle-Prompt-Prefix",
                        "aa:400,b" + kind + ":100,c" + number + ":9")
                .header("X-Sequoiaspindle-Pieces", "3")
                .header("X-Sequoiaspindle-Piece-Key", "k" + number)
                .POST(HttpRequest.BodyPublishers.ofString(PROMPT))
                .build();
    }

    private static HttpRequest.Builder request(String target, String path, long number) {
        return HttpRequest.newBuilder(URI.create("http://" + target + path))
                .header("Authorization", "Bearer " + UsersPlatformServer.API_KEY)
                .header("X-Sequoiaspindle-Attempt-Id", "caller-" + number)
                .header("X-Sequoiaspindle-Deadline-Ms", DEADLINE_MS);
    }
}
