package org.sequoiaspindle.core.coordination.forwarding.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against more retries in a window than the number of requests in the window allows. */
final class ServiceRetryBudgetTest {

    private static final long WINDOW_MS = 10_000;
    private static final double ADDITIONAL_RETRIES = 3;

    @Property(seed = "20261204", tries = 200)
    void retriesInAnyWindowStayWithinTheBudget(
            @ForAll @Size(max = 200) List<@IntRange(max = 400) Integer> gaps) {
        ServiceRetryBudget budget = new ServiceRetryBudget(0.5, WINDOW_MS);
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int gap : gaps) {
            now += gap;
            if (gap % 3 == 0) {
                budget.recordRequest(now);
                requests.add(now);
            } else if (budget.tryRetry(now, ADDITIONAL_RETRIES)) {
                retries.add(now);
            }
            long windowStart = now - WINDOW_MS;
            // The budget counts the requests of a window that is longer by up to one bucket.
            long countedRequests = countSince(requests, windowStart - WINDOW_MS / 10);
            assertTrue(
                    countSince(retries, windowStart) <= 0.5 * countedRequests + ADDITIONAL_RETRIES);
        }
    }

    @Test
    void retryIsAllowedAgainAfterTheWindow() {
        ServiceRetryBudget budget = new ServiceRetryBudget(0, WINDOW_MS);
        assertTrue(budget.tryRetry(0, 1));
        assertFalse(budget.tryRetry(5_000, 1));
        assertTrue(budget.tryRetry(12_000, 1));
    }

    private static long countSince(List<Long> times, long windowStart) {
        return times.stream().filter(time -> time > windowStart).count();
    }
}
