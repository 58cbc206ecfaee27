package org.sequoiaspindle.core.coordination.forwarding;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Bounds the repeated sends to one service within a sliding window to a share of its requests and
 * this instance's part of a slack that all instances share. Thread-safe.
 */
public final class ServiceRetryBudget {

    /** Parts into which a window is divided; a finer division only costs memory. */
    private static final int BUCKETS = 10;

    /**
     * Counts of the slices, the newest last.
     *
     * @param newestBucket number of the newest slice since the epoch of the clock
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
     * A budget.
     *
     * @param retriesPerRequest repeats per request
     * @param windowMillis length of the window
     */
    public ServiceRetryBudget(double retriesPerRequest, long windowMillis) {
        this.retriesPerRequest = retriesPerRequest;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /** Notes a request for the service. */
    public void recordRequest(long now) {
        window.updateAndGet(current -> current.advancedTo(now / bucketMillis).withAdded(1, 0));
    }

    /**
     * Takes one repeat.
     *
     * @param minimumRetries repeats that this instance may make besides the share of its requests
     * @return false if the budget is used up
     */
    public boolean tryRetry(long now, double minimumRetries) {
        while (true) {
            Window current = window.get();
            Window advanced = current.advancedTo(now / bucketMillis);
            double allowed = retriesPerRequest * advanced.sum(advanced.requests) + minimumRetries;
            if (advanced.sum(advanced.retries) + 1 > allowed) {
                return false;
            }
            if (window.compareAndSet(current, advanced.withAdded(0, 1))) {
                return true;
            }
        }
    }
}
