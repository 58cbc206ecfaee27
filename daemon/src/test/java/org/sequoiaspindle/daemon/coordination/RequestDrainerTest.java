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

    private final CompletableFuture<Void> gracePeriod = new CompletableFuture<>();
    private final CompletableFuture<Void> requestTimeout = new CompletableFuture<>();
    private final RequestDrainer drainer =
            new RequestDrainer(
                    new DrainTimeouts(10, 20),
                    millis -> millis == 10 ? gracePeriod : requestTimeout);

    @Test
    void requestsOfTheGracePeriodAreServedAndAwaited() {
        CompletableFuture<Long> drainEnd = drainer.start().toCompletableFuture();
        assertTrue(drainer.isDraining());
        CompletableFuture<String> request = new CompletableFuture<>();
        drainer.track(() -> request);
        gracePeriod.complete(null);
        assertFalse(drainEnd.isDone());
        request.complete("answer");
        assertEquals(0, drainEnd.join());
    }

    @Test
    void idleInstanceStillWaitsForTheGracePeriod() {
        CompletableFuture<Long> drainEnd = drainer.start().toCompletableFuture();
        assertFalse(drainEnd.isDone());
        gracePeriod.complete(null);
        assertEquals(0, drainEnd.join());
    }

    @Test
    void requestsThatDoNotEndAreCutOffAtTheTimeout() {
        drainer.track(CompletableFuture::new);
        CompletableFuture<Long> drainEnd = drainer.start().toCompletableFuture();
        gracePeriod.complete(null);
        assertFalse(drainEnd.isDone());
        requestTimeout.complete(null);
        assertEquals(1, drainEnd.join());
    }

    @Test
    void failedRequestCountsAsEnded() {
        drainer.track(() -> CompletableFuture.failedFuture(new IllegalStateException("broken")));
        assertEquals(0, drainer.runningRequests());
    }

    @Property(seed = "4712", tries = 200)
    void drainEndsExactlyWithTheLastRequest(@ForAll @IntRange(min = 1, max = 50) int count) {
        RequestDrainer freshDrainer =
                new RequestDrainer(
                        new DrainTimeouts(10, 20),
                        millis -> millis == 10 ? gracePeriod : requestTimeout);
        gracePeriod.complete(null);
        List<CompletableFuture<Integer>> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            CompletableFuture<Integer> request = new CompletableFuture<>();
            requests.add(request);
            freshDrainer.track(() -> request);
        }
        CompletableFuture<Long> drainEnd = freshDrainer.start().toCompletableFuture();
        for (int i = 0; i < count; i++) {
            assertFalse(drainEnd.isDone());
            requests.get(i).complete(i);
        }
        assertTrue(drainEnd.isDone());
    }
}
