package org.sequoiaspindle.core.coordination.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;

/**
 * Predicts which waiting pieces will not be begun in time, so that their requests are refused while
 * their clients can still come back, and no work is spent on them.
 */
public final class QueueOutlook {

    /** Span over which the rate of completed pieces is averaged, in milliseconds. */
    private static final double AVERAGING_MS = 1_500;

    /**
     * Share of the nominal capacity that is assumed at least; calls are rarely full, and results
     * may lack room.
     */
    private static final double ASSUMED_SHARE = 0.5;

    private final double rate;
    private final long updatedAt;

    private QueueOutlook(double rate, long updatedAt) {
        this.rate = rate;
        this.updatedAt = updatedAt;
    }

    /** Outlook before any piece was made. */
    public static QueueOutlook initial(long now) {
        return new QueueOutlook(0, now);
    }

    /** Outlook after a call that made pieces. */
    public QueueOutlook completed(int pieces, long now) {
        return new QueueOutlook(decayed(now) + pieces / AVERAGING_MS, now);
    }

    /**
     * Pieces whose turn comes too late, if those before them are made at the present rate.
     *
     * @param inOrder waiting pieces in the order in which they are sent
     * @param replicas replicas that take calls
     */
    public List<Piece> hopeless(BatchSpec spec, List<Piece> inOrder, int replicas, long now) {
        double perMilli = piecesPerMilli(spec, replicas, now);
        List<Piece> hopeless = new ArrayList<>();
        double ahead = 0;
        for (Piece piece : inOrder) {
            double start = perMilli > 0 ? now + ahead / perMilli : now;
            if (start + spec.durationMillis(1) > piece.usefulUntil()) {
                hopeless.add(piece);
            } else {
                ahead++;
            }
        }
        return hopeless;
    }

    /** Rate at which pieces are expected to be made, a millisecond. */
    public double piecesPerMilli(BatchSpec spec, int replicas, long now) {
        double full = spec.maxPieces() / spec.durationMillis(spec.maxPieces());
        return Math.max(decayed(now), ASSUMED_SHARE * full * spec.slots() * replicas);
    }

    private double decayed(long now) {
        return rate * Math.exp(-(now - updatedAt) / AVERAGING_MS);
    }
}
