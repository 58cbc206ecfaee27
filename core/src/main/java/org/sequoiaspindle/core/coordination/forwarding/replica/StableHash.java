package org.sequoiaspindle.core.coordination.forwarding.replica;

import com.dynatrace.hash4j.hashing.Hashing;

/** Hash with the same values on all instances. */
public final class StableHash {

    private StableHash() {}

    /** Returns the hash of one string. */
    public static long of(String value) {
        return Hashing.komihash5_0().hashCharsToLong(value);
    }

    public static long of(String first, String second) {
        return Hashing.komihash5_0().hashStream().putString(first).putString(second).getAsLong();
    }
}
