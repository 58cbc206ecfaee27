package org.sequoiaspindle.standins.state;

/** Fault that a replica stand-in simulates. */
public enum ReplicaFault {
    NONE,
    /** Rejects the request and states in a header that the request was not executed. */
    NOT_EXECUTED,
    /** Executes the request and responds with status 500. */
    FAILED,
    /** Executes the request, sends half of the response and closes the connection. */
    HALF_ANSWER,
    /** Executes the request and closes the connection without a response. */
    NO_ANSWER,
    /** Executes the request and keeps the connection open without a response. */
    SILENT,
    /** Sends the response without the seal header. */
    UNSEALED,
    /** Sends a response with the attempt id of another request. */
    FOREIGN_ANSWER,
    /** Produces no pieces because the replica has no memory for results. */
    NO_ROOM,
    /** Answers as usual and announces its shutdown in every answer. */
    LEAVING,
    /** Rejects requests and calls of pieces, and asks not to receive any for some time. */
    PAUSED
}
