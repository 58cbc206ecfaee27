package org.sequoiaspindle.core.coordination.relay;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Pause of an instance's own reads of the store after a failure, while the first instances of its
 * data centre keep trying for all. The length differs between instances, so that a returning store
 * does not receive the reads of a whole fleet at once. Immutable.
 *
 * @param lengthMillis length of a pause of this instance, in milliseconds
 * @param until time at which the current pause ends, in milliseconds
 */
public record DirectReadPause(long lengthMillis, long until) {

    private static final long MIN_LENGTH_MS = 1_000;
    private static final long SPREAD_MS = 1_000;

    /** Returns the state of an instance that has not failed to read yet. */
    public static DirectReadPause none(String instanceName) {
        long hash = Hashing.komihash5_0().hashStream().putString(instanceName).getAsLong();
        return new DirectReadPause(
                MIN_LENGTH_MS + Long.remainderUnsigned(hash, SPREAD_MS), Long.MIN_VALUE);
    }

    public boolean isPaused(long now) {
        return now < until;
    }

    public DirectReadPause afterFailure(long now) {
        return new DirectReadPause(lengthMillis, now + lengthMillis);
    }

    public DirectReadPause afterSuccess() {
        return new DirectReadPause(lengthMillis, Long.MIN_VALUE);
    }
}
