package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;

/**
 * How a call on an endpoint ended, as far as routing is concerned.
 *
 * @param kind class of the result
 * @param serviceMs time from sending the call to its end, in milliseconds
 * @param size size in tokens that the call turned out to have, at least 1
 * @param load what the endpoint said of itself
 */
public record CallReport(Kind kind, long serviceMs, long size, Option<EndpointLoad> load) {

    /** Class of a result. */
    public enum Kind {
        COMPLETED,
        /** The endpoint could not be reached; no byte of the call left this process. */
        NOT_SENT,
        /** The endpoint refused the call before executing it. */
        REFUSED,
        /** The endpoint executed the call and reported an error. */
        FAILED,
        /** No verdict came. */
        UNKNOWN,
        /** This instance gave the call up. */
        CANCELLED
    }

    /**
     * Load of an endpoint as it reported it, possibly late.
     *
     * @param running calls that it runs, of all instances
     * @param queued calls that wait in it
     * @param slots calls that it can run at once
     * @param leaving whether it is about to stop
     */
    public record EndpointLoad(int running, int queued, int slots, boolean leaving) {}
}
