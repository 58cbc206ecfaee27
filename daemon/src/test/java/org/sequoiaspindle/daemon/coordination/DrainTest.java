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
import org.sequoiaspindle.daemon.state.DrainLimits;

/** Guards running requests against a process that exits before they have ended. */
final class DrainTest {

    private final CompletableFuture<Void> grace = new CompletableFuture<>();
    private final CompletableFuture<Void> limit = new CompletableFuture<>();
    private final Drain drain =
            new Drain(new DrainLimits(10, 20), millis -> millis == 10 ? grace : limit);

    @Test
    void requestsOfTheGraceTimeAreServedAndAwaited() {
        CompletableFuture<Long> ended = drain.start().toCompletableFuture();
        assertTrue(drain.isDraining());
        CompletableFuture<String> request = new CompletableFuture<>();
        drain.track(() -> request);
        grace.complete(null);
        assertFalse(ended.isDone());
        request.complete("answer");
        assertEquals(0, ended.join());
    }

    @Test
    void idleInstanceStillWaitsForTheGraceTime() {
        CompletableFuture<Long> ended = drain.start().toCompletableFuture();
        assertFalse(ended.isDone());
        grace.complete(null);
        assertEquals(0, ended.join());
    }

    @Test
    void requestsThatDoNotEndAreCutOffAtTheLimit() {
        drain.track(CompletableFuture::new);
        CompletableFuture<Long> ended = drain.start().toCompletableFuture();
        grace.complete(null);
        assertFalse(ended.isDone());
        limit.complete(null);
        assertEquals(1, ended.join());
    }

    @Test
    void failedRequestCountsAsEnded() {
        drain.track(() -> CompletableFuture.failedFuture(new IllegalStateException("broken")));
        assertEquals(0, drain.running());
    }

    @Property(seed = "4712", tries = 200)
    void drainEndsExactlyWithTheLastRequest(@ForAll @IntRange(min = 1, max = 50) int count) {
        Drain each = new Drain(new DrainLimits(10, 20), millis -> millis == 10 ? grace : limit);
        grace.complete(null);
        List<CompletableFuture<Integer>> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            CompletableFuture<Integer> request = new CompletableFuture<>();
            requests.add(request);
            each.track(() -> request);
        }
        CompletableFuture<Long> ended = each.start().toCompletableFuture();
        for (int i = 0; i < count; i++) {
            assertFalse(ended.isDone());
            requests.get(i).complete(i);
        }
        assertTrue(ended.isDone());
    }
}
