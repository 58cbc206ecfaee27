package org.sequoiaspindle.core.coordination.forwarding.piece;

import java.util.List;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;

/** Decides how long to wait for the response to a call that computes pieces. */
public final class PieceCallTimeout {

    /** Multiple of the expected time after which a call times out; replicas may share machines. */
    private static final double FACTOR = 3;

    /**
     * Shortest timeout, in milliseconds. A short call must survive a pause of the replica or a
     * retransmission, because a call that was given up is executed a second time.
     */
    static final long MIN_MS = 1_000;

    private PieceCallTimeout() {}

    /** Returns the timeout in milliseconds, which ends no later than the last deadline. */
    public static long millis(BatchSpec spec, List<Piece> pieces, long now) {
        long untilLastDeadline =
                pieces.stream().mapToLong(Piece::deadlineAt).max().orElse(now) - now;
        double expected = spec.durationMillis(spec.maxPieces()) * (spec.queue() + 1);
        long timeout = Math.max(MIN_MS, (long) (expected * FACTOR));
        return Math.max(1, Math.min(untilLastDeadline, timeout));
    }
}
