package org.sequoiaspindle.standins.coordination;

import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounded cache of prompt prefixes in blocks of 256 characters with least-recently-used eviction.
 */
public final class PrefixCache {

    /** Block size in characters. */
    public static final int BLOCK_CHARS = 256;

    // Evicting an eighth of the capacity at a time amortises the search for the least recently used
    // blocks.
    private static final int EVICTION_DIVISOR = 8;

    private final int capacity;
    private final Map<Long, Long> lastUse = new ConcurrentHashMap<>();
    private final AtomicLong useCounter = new AtomicLong();

    public PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Returns the number of leading characters of the prompt that were cached, and caches the
     * blocks of the prompt, up to the capacity.
     */
    public int lookUpAndInsert(String prompt) {
        int cachedChars = 0;
        boolean prefixCached = true;
        long hash = 0;
        int blocks = Math.min(prompt.length() / BLOCK_CHARS, capacity);
        for (int block = 0; block < blocks; block++) {
            int start = block * BLOCK_CHARS;
            hash =
                    SeededRandom.hash(
                            hash,
                            ExpectedAnswers.digest(prompt.substring(start, start + BLOCK_CHARS)));
            prefixCached &= lastUse.put(hash, useCounter.incrementAndGet()) != null;
            cachedChars += prefixCached ? BLOCK_CHARS : 0;
        }
        evictExcess();
        return cachedChars;
    }

    private void evictExcess() {
        if (lastUse.size() <= capacity) {
            return;
        }
        int excess = lastUse.size() - capacity + capacity / EVICTION_DIVISOR;
        lastUse.entrySet().stream()
                .sorted(Comparator.comparingLong(Map.Entry::getValue))
                .limit(excess)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(lastUse::remove);
    }
}
