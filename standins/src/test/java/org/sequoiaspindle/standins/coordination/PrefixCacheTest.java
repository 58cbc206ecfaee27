package org.sequoiaspindle.standins.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a cache that counts blocks behind a miss or grows beyond its capacity. */
final class PrefixCacheTest {

    @Test
    void onlyLeadingBlocksThatWereSeenBeforeAreCached() {
        PrefixCache cache = new PrefixCache(4);
        String block = "x".repeat(PrefixCache.BLOCK_CHARS);
        assertEquals(0, cache.admit(block + block + "tail"));
        assertEquals(2 * PrefixCache.BLOCK_CHARS, cache.admit(block + block + "other tail"));
        assertEquals(0, cache.admit("y" + block + block));
        cache.admit("z" + block + block);
        assertTrue(cache.admit(block + block) < 2 * PrefixCache.BLOCK_CHARS);
    }
}
