package org.sequoiaspindle.core.protocol.forwarding;

/** Result of the execution of a piece. */
public sealed interface PieceResult {

    /** The piece was computed; the replica stores its result under the handle. */
    record Completed(String handle) implements PieceResult {}

    /** The piece was not computed. */
    record NotCompleted(Reason reason) implements PieceResult {}

    /** Why a piece was not computed. */
    enum Reason {
        /** The piece was not needed any more, or cannot complete before its deadline. */
        LATE,
        /** An input no longer exists and must be recomputed. */
        INPUT_GONE,
        /** The replica has no memory for the result. */
        NO_ROOM,
        /** The replica failed, or no usable response arrived. */
        FAILED,
        /** The service has no available replica. */
        NO_REPLICA
    }
}
