package org.sequoiaspindle.core.protocol.forwarding;

/** What became of a piece of a stage. */
public sealed interface PieceResult {

    /** The piece was made; its result stays at its maker under the handle. */
    record Completed(String handle) implements PieceResult {}

    /** The piece was not made. */
    record NotCompleted(Reason reason) implements PieceResult {}

    /** Why a piece was not made. */
    enum Reason {
        /** Its time had passed at its turn. */
        LATE,
        /** An input is gone and has to be made again. */
        INPUT_GONE,
        /** The replica has no space for the result. */
        NO_ROOM,
        /** The replica failed, or no usable answer came. */
        FAILED,
        /** No replica of the service takes work. */
        NO_REPLICA
    }
}
