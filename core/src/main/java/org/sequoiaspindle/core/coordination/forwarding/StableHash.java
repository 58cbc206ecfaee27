package org.sequoiaspindle.core.coordination.forwarding;

import com.dynatrace.hash4j.hashing.Hashing;

/** Hash with the same values on all instances. */
final class StableHash {

    private StableHash() {}

    static long of(String first, String second) {
        return Hashing.komihash5_0().hashStream().putString(first).putString(second).getAsLong();
    }
}
