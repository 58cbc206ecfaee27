package org.sequoiaspindle.standins.coordination;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the executions of a service by request and by input. Thread-safe. */
public final class ExecutionCounts {

    // Longer inputs are counted by a prefix and a digest, which bounds the memory.
    private static final int MAX_INPUT_CHARS = 200;

    private final AtomicLong total = new AtomicLong();
    private final Map<String, Long> byRequest = new ConcurrentHashMap<>();
    private final Map<String, Long> byInput = new ConcurrentHashMap<>();

    public void recordExecution(String requestId, String input) {
        total.incrementAndGet();
        byRequest.merge(requestId, 1L, Long::sum);
        byInput.merge(inputKey(input), 1L, Long::sum);
    }

    public long total() {
        return total.get();
    }

    public long countForRequest(String requestId) {
        return byRequest.getOrDefault(requestId, 0L);
    }

    public long countForInput(String input) {
        return byInput.getOrDefault(inputKey(input), 0L);
    }

    public Map<String, Long> byRequest() {
        return new TreeMap<>(byRequest);
    }

    public Map<String, Long> byInput() {
        return new TreeMap<>(byInput);
    }

    public void reset() {
        total.set(0);
        byRequest.clear();
        byInput.clear();
    }

    private static String inputKey(String input) {
        return input.length() <= MAX_INPUT_CHARS
                ? input
                : input.substring(0, MAX_INPUT_CHARS)
                        + "#"
                        + Long.toHexString(ExpectedAnswers.digest(input));
    }
}
