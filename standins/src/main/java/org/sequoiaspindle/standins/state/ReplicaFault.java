package org.sequoiaspindle.standins.state;

/** Fault that a replica stand-in simulates. */
public enum ReplicaFault {
    NONE,
    /** Rejects the request and states in a header that it was not executed. */
    NOT_EXECUTED,
    /** Executes the request and answers with status 500. */
    FAILED,
    /** Executes the request, sends half of the answer and closes the connection. */
    HALF_ANSWER,
    /** Executes the request and closes the connection without an answer. */
    NO_ANSWER,
    /** Executes the request and keeps the connection open without an answer. */
    SILENT,
    /** Answers without the response seal. */
    UNSEALED,
    /** Answers with the attempt id of another request. */
    FOREIGN_ANSWER,
    /** Produces no pieces because it has no memory for their results. */
    NO_ROOM
}
