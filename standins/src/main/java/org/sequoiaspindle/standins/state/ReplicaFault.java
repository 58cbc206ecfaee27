package org.sequoiaspindle.standins.state;

/** How a stand-in replica deals with requests. */
public enum ReplicaFault {
    NONE,
    /** Refuses with the statement that it did not run the request. */
    NOT_EXECUTED,
    /** Runs the request and answers 500. */
    FAILED,
    /** Runs the request and sends half of the answer. */
    HALF_ANSWER,
    /** Runs the request and closes the connection without an answer. */
    NO_ANSWER,
    /** Runs the request and keeps the connection without an answer. */
    SILENT,
    /** Answers without its signature. */
    UNSEALED,
    /** Answers with the identifier of another request. */
    FOREIGN_ANSWER,
    /** Makes no pieces since it has no space for their results. */
    NO_ROOM
}
