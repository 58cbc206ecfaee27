package org.sequoiaspindle.core.coordination.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;

/**
 * Predicts which waiting pieces will not be begun in time, so that their requests are refused while
 * their clients can still come back, and no work is spent on them.
 */
public final class QueueWaitPredictor {

    /** Span over which the rate of completed pieces is averaged, in milliseconds. */
    private static final double AVERAGING_MS = 1_500;

    /**
     * Share of the nominal capacity that is assumed at least; calls are rarely full, and results
     * may lack room.
     */
    private static final double MIN_CAPACITY_SHARE = 0.5;

    /**
     * Share of the rate that is assumed for late pieces; while they wait, requests that can still
     * be on time arrive and go first.
     */
    private static final double LATE_RATE_SHARE = 0.5;

    private final double rate;
    private final long updatedAt;

    private QueueWaitPredictor(double rate, long updatedAt) {
        this.rate = rate;
        this.updatedAt = updatedAt;
    }

    /** Outlook before any piece was made. */
    public static QueueWaitPredictor initial(long now) {
        return new QueueWaitPredictor(0, now);
    }

    /** Outlook after a call that made pieces. */
    public QueueWaitPredictor afterCall(int pieces, long now) {
        return new QueueWaitPredictor(decayedRate(now) + pieces / AVERAGING_MS, now);
    }

    /**
     * Pieces whose turn comes too late, if those before them are made at the present rate.
     *
     * @param schedule waiting pieces in the order in which they are sent
     * @param replicas replicas that take calls
     */
    public List<Piece> findUnservable(
            BatchSpec spec, PieceSchedule schedule, int replicas, long now) {
        double rate = piecesPerMilli(spec, replicas, now);
        double earliestEnd = now + spec.durationMillis(1);
        List<Piece> unservable = new ArrayList<>();
        double wait = 0;
        for (Piece piece : schedule.onTime()) {
            if (earliestEnd + wait > piece.deadlineAt()) {
                unservable.add(piece);
            } else {
                wait += 1 / rate;
            }
        }
        for (Piece piece : schedule.late()) {
            if (earliestEnd + wait > piece.deadlineAt()) {
                unservable.add(piece);
            } else {
                wait += 1 / (rate * LATE_RATE_SHARE);
            }
        }
        return unservable;
    }

    /** Rate at which pieces are expected to be made, a millisecond. */
    public double piecesPerMilli(BatchSpec spec, int replicas, long now) {
        double full = spec.maxPieces() / spec.durationMillis(spec.maxPieces());
        return Math.max(decayedRate(now), MIN_CAPACITY_SHARE * full * spec.slots() * replicas);
    }

    private double decayedRate(long now) {
        return rate * Math.exp(-(now - updatedAt) / AVERAGING_MS);
    }
}
