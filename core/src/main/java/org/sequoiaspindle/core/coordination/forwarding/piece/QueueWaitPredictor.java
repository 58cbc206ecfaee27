package org.sequoiaspindle.core.coordination.forwarding.piece;

import java.util.ArrayList;
import java.util.List;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;

/**
 * Predicts which pending pieces cannot be completed before their deadlines. The requests of these
 * pieces are rejected early, while the clients still have time to retry, and use no capacity.
 */
public final class QueueWaitPredictor {

    /** Time constant of the moving average of the completion rate, in milliseconds. */
    private static final double AVERAGING_MS = 1_500;

    /**
     * Lower bound of the assumed rate, as a fraction of the nominal capacity. The full capacity is
     * rarely reached, because batches are seldom full and replicas may lack memory for results.
     */
    private static final double MIN_CAPACITY_SHARE = 0.5;

    /**
     * Fraction of the rate that is assumed to be left for late pieces, because requests that can
     * still be on time keep arriving and are served first.
     */
    private static final double LATE_RATE_SHARE = 0.5;

    private final double rate;
    private final long updatedAt;

    private QueueWaitPredictor(double rate, long updatedAt) {
        this.rate = rate;
        this.updatedAt = updatedAt;
    }

    /** Returns a predictor before any call has completed. */
    public static QueueWaitPredictor initial(long now) {
        return new QueueWaitPredictor(0, now);
    }

    /** Returns the predictor after a call that completed the given number of pieces. */
    public QueueWaitPredictor afterCall(int pieces, long now) {
        return new QueueWaitPredictor(decayedRate(now) + pieces / AVERAGING_MS, now);
    }

    /**
     * Returns the pieces that would miss their deadlines if the pieces ahead of them are completed
     * at the current rate.
     *
     * @param schedule pending pieces
     * @param replicas number of usable replicas, counted by the share of their rate that they carry
     * @param now time at which the next call can start, in milliseconds; later than the current
     *     time while all replicas have asked for a pause
     */
    public List<Piece> findUnservable(
            BatchSpec spec, PieceSchedule schedule, double replicas, long now) {
        double rate = piecesPerMilli(spec, replicas, now);
        double earliestEnd = now + spec.durationMillis(1);
        List<Piece> unservablePieces = new ArrayList<>();
        double wait = 0;
        for (Piece piece : schedule.onTimePieces()) {
            if (earliestEnd + wait > piece.deadlineAt()) {
                unservablePieces.add(piece);
            } else {
                wait += 1 / rate;
            }
        }
        for (Piece piece : schedule.latePieces()) {
            if (earliestEnd + wait > piece.deadlineAt()) {
                unservablePieces.add(piece);
            } else {
                wait += 1 / (rate * LATE_RATE_SHARE);
            }
        }
        return unservablePieces;
    }

    /** Returns the expected completion rate, in pieces a millisecond. */
    public double piecesPerMilli(BatchSpec spec, double replicas, long now) {
        double fullRate = spec.maxPieces() / spec.durationMillis(spec.maxPieces());
        return Math.max(decayedRate(now), MIN_CAPACITY_SHARE * fullRate * spec.slots() * replicas);
    }

    private double decayedRate(long now) {
        return rate * Math.exp(-(now - updatedAt) / AVERAGING_MS);
    }
}
