package org.sequoiaspindle.core.state;

/** Outcome of a request as reported to its caller. */
public enum Outcome {
    /** The complete answer was produced. */
    ANSWERED,
    /** No stage of the request was executed and none will be. */
    NOT_RUN,
    /**
     * A stage was executed and reported an error, or the remaining stages could not be executed.
     */
    FAILED,
    /** It is unknown whether a non-idempotent call was executed. */
    UNKNOWN,
    /** The deadline passed before the answer was complete. */
    DEADLINE_EXCEEDED
}
