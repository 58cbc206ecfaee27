package org.sequoiaspindle.standins.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against counting cached blocks that follow a miss, and against growth of the cache beyond
 * the capacity.
 */
final class PrefixCacheTest {

    @Test
    void onlyLeadingBlocksOfEarlierPromptsCountAsCached() {
        PrefixCache cache = new PrefixCache(4);
        String block = "x".repeat(PrefixCache.BLOCK_CHARS);
        assertEquals(0, cache.lookUpAndInsert(block + block + "tail"));
        assertEquals(
                2 * PrefixCache.BLOCK_CHARS, cache.lookUpAndInsert(block + block + "other tail"));
        assertEquals(0, cache.lookUpAndInsert("y" + block + block));
        cache.lookUpAndInsert("z" + block + block);
        assertTrue(cache.lookUpAndInsert(block + block) < 2 * PrefixCache.BLOCK_CHARS);
    }
}
