package org.sequoiaspindle.core.coordination.forwarding.admission;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Limits the retries to one service within a sliding window to a fraction of its requests, plus
 * this instance's share of an additional allowance that all instances divide among themselves.
 * Thread-safe.
 */
public final class ServiceRetryBudget {

    /**
     * Number of buckets into which a window is divided; more buckets would only use more memory.
     */
    private static final int BUCKETS = 10;

    /**
     * Counts for each bucket, the newest last.
     *
     * @param newestBucket number of the newest bucket, counted from the origin of the clock
     */
    private record Window(long newestBucket, int[] requests, int[] retries) {

        static Window startingAt(long bucket) {
            return new Window(bucket, new int[BUCKETS + 1], new int[BUCKETS + 1]);
        }

        Window advancedTo(long bucket) {
            if (bucket <= newestBucket) {
                return this;
            }
            Window next = startingAt(bucket);
            for (int i = 0; i <= BUCKETS; i++) {
                long from = i + bucket - newestBucket;
                if (from <= BUCKETS) {
                    next.requests[i] = requests[(int) from];
                    next.retries[i] = retries[(int) from];
                }
            }
            return next;
        }

        Window withAdded(int addedRequests, int addedRetries) {
            Window next = new Window(newestBucket, requests.clone(), retries.clone());
            next.requests[BUCKETS] += addedRequests;
            next.retries[BUCKETS] += addedRetries;
            return next;
        }

        int sum(int[] counts) {
            int sum = 0;
            for (int count : counts) {
                sum += count;
            }
            return sum;
        }
    }

    private final double retriesPerRequest;
    private final long bucketMillis;
    private final AtomicReference<Window> window = new AtomicReference<>(Window.startingAt(0));

    /**
     * Creates a budget without any recorded request.
     *
     * @param retriesPerRequest retries allowed for each request
     * @param windowMillis length of the sliding window
     */
    public ServiceRetryBudget(double retriesPerRequest, long windowMillis) {
        this.retriesPerRequest = retriesPerRequest;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /** Records a request to the service. */
    public void recordRequest(long now) {
        window.updateAndGet(current -> current.advancedTo(now / bucketMillis).withAdded(1, 0));
    }

    /**
     * Consumes one retry from the budget.
     *
     * @param additionalRetries retries allowed in addition to those earned by requests
     * @return false if the budget is exhausted
     */
    public boolean tryRetry(long now, double additionalRetries) {
        while (true) {
            Window current = window.get();
            Window advancedWindow = current.advancedTo(now / bucketMillis);
            double maxRetries =
                    retriesPerRequest * advancedWindow.sum(advancedWindow.requests)
                            + additionalRetries;
            if (advancedWindow.sum(advancedWindow.retries) + 1 > maxRetries) {
                return false;
            }
            if (window.compareAndSet(current, advancedWindow.withAdded(0, 1))) {
                return true;
            }
        }
    }
}
