package org.sequoiaspindle.core.state.forwarding;

/**
 * Properties of the replicas of a service that computes pieces of stages.
 *
 * @param slots maximum number of concurrent calls
 * @param queue maximum number of queued calls
 * @param maxPieces maximum number of pieces in a call
 * @param callOverheadMillis fixed time of a call, to which the time of the pieces is added
 * @param pieceMillis approximate time of each piece
 * @param resultMemoryBytes memory for results
 * @param resultTtlMillis time for which a result is kept after its call
 */
public record BatchSpec(
        int slots,
        int queue,
        int maxPieces,
        double callOverheadMillis,
        double pieceMillis,
        long resultMemoryBytes,
        long resultTtlMillis) {

    /** Returns the expected duration of a call with the given number of pieces, in milliseconds. */
    public double durationMillis(int pieces) {
        return callOverheadMillis + pieces * pieceMillis;
    }
}
