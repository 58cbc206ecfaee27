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

    /**
     * Share of the rate that is assumed for late pieces; while they wait, requests that can still
     * be on time arrive and go first.
     */
    private static final double LATE_SHARE = 0.5;

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
     * @param schedule waiting pieces in the order in which they are sent
     * @param replicas replicas that take calls
     */
    public List<Piece> hopeless(BatchSpec spec, PieceSchedule schedule, int replicas, long now) {
        double rate = piecesPerMilli(spec, replicas, now);
        double first = now + spec.durationMillis(1);
        List<Piece> hopeless = new ArrayList<>();
        double wait = 0;
        for (Piece piece : schedule.onTime()) {
            if (first + wait > piece.usefulUntil()) {
                hopeless.add(piece);
            } else {
                wait += 1 / rate;
            }
        }
        for (Piece piece : schedule.late()) {
            if (first + wait > piece.usefulUntil()) {
                hopeless.add(piece);
            } else {
                wait += 1 / (rate * LATE_SHARE);
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
