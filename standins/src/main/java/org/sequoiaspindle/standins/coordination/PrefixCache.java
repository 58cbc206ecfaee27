package org.sequoiaspindle.standins.coordination;

import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Bounded cache of prompt prefixes in blocks of 256 characters; drops the least recently used. */
public final class PrefixCache {

    /** Characters of one block. */
    public static final int BLOCK_CHARS = 256;

    // Evicting an eighth at a time spreads the cost of finding the least recently used blocks.
    private static final int EVICTED_SHARE = 8;

    private final int capacity;
    private final Map<Long, Long> lastUse = new ConcurrentHashMap<>();
    private final AtomicLong uses = new AtomicLong();

    public PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /** Returns how many leading characters of the prompt are cached, and caches all its blocks. */
    public int admit(String prompt) {
        int hitChars = 0;
        boolean hit = true;
        long hash = 0;
        int blocks = Math.min(prompt.length() / BLOCK_CHARS, capacity);
        for (int block = 0; block < blocks; block++) {
            int start = block * BLOCK_CHARS;
            hash =
                    Draws.mix(
                            hash,
                            ExpectedAnswers.digest(prompt.substring(start, start + BLOCK_CHARS)));
            hit &= lastUse.put(hash, uses.incrementAndGet()) != null;
            hitChars += hit ? BLOCK_CHARS : 0;
        }
        evictExcess();
        return hitChars;
    }

    private void evictExcess() {
        if (lastUse.size() <= capacity) {
            return;
        }
        int excess = lastUse.size() - capacity + capacity / EVICTED_SHARE;
        lastUse.entrySet().stream()
                .sorted(Comparator.comparingLong(Map.Entry::getValue))
                .limit(excess)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(lastUse::remove);
    }
}
