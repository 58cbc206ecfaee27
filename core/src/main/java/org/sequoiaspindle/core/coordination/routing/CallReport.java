package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;

/**
 * The end of a call on an endpoint, as reported to the scheduler.
 *
 * @param kind class of the result
 * @param serviceMs time from sending the call to its end, in milliseconds
 * @param size actual size in tokens, at least 1
 * @param load load that the endpoint reported with its response
 */
public record CallReport(ResultKind kind, long serviceMs, long size, Option<EndpointLoad> load) {

    /** Class of a result. */
    public enum ResultKind {
        COMPLETED,
        /** The endpoint could not be reached; no byte of the call left this process. */
        NOT_SENT,
        /** The endpoint refused the call before executing it. */
        REFUSED,
        /** The endpoint executed the call and reported an error. */
        FAILED,
        /** No response arrived, so it is unknown whether the endpoint executed the call. */
        UNKNOWN,
        /** This instance cancelled the call. */
        CANCELLED
    }

    /**
     * Load reported by an endpoint. The report may be out of date when it arrives.
     *
     * @param running calls that the endpoint runs, from all instances
     * @param queued calls that wait in the queue of the endpoint
     * @param slots calls that the endpoint can run concurrently
     * @param leaving whether the endpoint is about to stop
     */
    public record EndpointLoad(int running, int queued, int slots, boolean leaving) {}
}
