package org.sequoiaspindle.core.state.forwarding;

/**
 * How one replica of a stage's service makes pieces.
 *
 * @param slots calls in progress at the same time
 * @param queue calls that may wait
 * @param maxPieces largest number of pieces in a call
 * @param callOverheadMillis time of a call besides its pieces
 * @param pieceMillis approximate time of each piece
 * @param resultMemoryBytes space for results
 * @param resultTtlMillis how long a result is kept after its call
 */
public record BatchSpec(
        int slots,
        int queue,
        int maxPieces,
        double callOverheadMillis,
        double pieceMillis,
        long resultMemoryBytes,
        long resultTtlMillis) {

    /** Expected time of a call in milliseconds. */
    public double durationMillis(int pieces) {
        return callOverheadMillis + pieces * pieceMillis;
    }
}
