package org.sequoiaspindle.daemon.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.daemon.state.DrainTimeouts;

/** Guards against a process that exits before its running requests have ended. */
final class RequestDrainerTest {

    private final CompletableFuture<Void> grace = new CompletableFuture<>();
    private final CompletableFuture<Void> limit = new CompletableFuture<>();
    private final RequestDrainer drainer =
            new RequestDrainer(new DrainTimeouts(10, 20), millis -> millis == 10 ? grace : limit);

    @Test
    void requestsOfTheGraceTimeAreServedAndAwaited() {
        CompletableFuture<Long> ended = drainer.start().toCompletableFuture();
        assertTrue(drainer.isDraining());
        CompletableFuture<String> request = new CompletableFuture<>();
        drainer.track(() -> request);
        grace.complete(null);
        assertFalse(ended.isDone());
        request.complete("answer");
        assertEquals(0, ended.join());
    }

    @Test
    void idleInstanceStillWaitsForTheGraceTime() {
        CompletableFuture<Long> ended = drainer.start().toCompletableFuture();
        assertFalse(ended.isDone());
        grace.complete(null);
        assertEquals(0, ended.join());
    }

    @Test
    void requestsThatDoNotEndAreCutOffAtTheLimit() {
        drainer.track(CompletableFuture::new);
        CompletableFuture<Long> ended = drainer.start().toCompletableFuture();
        grace.complete(null);
        assertFalse(ended.isDone());
        limit.complete(null);
        assertEquals(1, ended.join());
    }

    @Test
    void failedRequestCountsAsEnded() {
        drainer.track(() -> CompletableFuture.failedFuture(new IllegalStateException("broken")));
        assertEquals(0, drainer.runningRequests());
    }

    @Property(seed = "4712", tries = 200)
    void drainEndsExactlyWithTheLastRequest(@ForAll @IntRange(min = 1, max = 50) int count) {
        RequestDrainer eachDrainer =
                new RequestDrainer(
                        new DrainTimeouts(10, 20), millis -> millis == 10 ? grace : limit);
        grace.complete(null);
        List<CompletableFuture<Integer>> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            CompletableFuture<Integer> request = new CompletableFuture<>();
            requests.add(request);
            eachDrainer.track(() -> request);
        }
        CompletableFuture<Long> ended = eachDrainer.start().toCompletableFuture();
        for (int i = 0; i < count; i++) {
            assertFalse(ended.isDone());
            requests.get(i).complete(i);
        }
        assertTrue(ended.isDone());
    }
}
