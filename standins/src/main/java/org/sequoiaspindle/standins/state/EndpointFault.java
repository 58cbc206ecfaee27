package org.sequoiaspindle.standins.state;

/**
 * Fault that an endpoint stand-in simulates.
 *
 * @param factor multiplier of all durations in mode {@code SLOW}
 * @param durationMs time after which the fault ends, in milliseconds; 0 for a fault without an end
 * @param share fraction of the calls that are affected, 0 to 1
 */
public record EndpointFault(Mode mode, double factor, long durationMs, double share) {

    /** Kinds of fault. */
    public enum Mode {
        NONE,
        /** Durations are multiplied by the factor. */
        SLOW,
        /**
         * Calls are accepted and read; executions and responses are suspended until the fault ends.
         */
        FROZEN,
        /** Calls are refused before execution. */
        REFUSE,
        /** Calls are executed; the response has status 500. */
        ERROR,
        /** The stream or body ends halfway and the connection is closed. */
        CUT,
        /** Calls are executed; the connection is closed without a response. */
        CLOSE_BEFORE_ANSWER,
        /** Each token event is sent twice. */
        DUPLICATE,
        /** Two neighbouring token events in the middle of the stream are swapped. */
        REORDER,
        /** The response carries the id of another request. */
        WRONG_ID
    }

    public static EndpointFault none() {
        return of(Mode.NONE);
    }

    /** Returns a fault that affects all calls until another fault is set. */
    public static EndpointFault of(Mode mode) {
        return new EndpointFault(mode, 1, 0, 1);
    }

    public static EndpointFault slow(double factor) {
        return new EndpointFault(Mode.SLOW, factor, 0, 1);
    }

    public EndpointFault withShare(double newShare) {
        return new EndpointFault(mode, factor, durationMs, newShare);
    }

    public EndpointFault withDurationMs(long newDurationMs) {
        return new EndpointFault(mode, factor, newDurationMs, share);
    }

    /**
     * Returns the fault mode that applies to a call.
     *
     * @param randomValue random number of the call from [0, 1)
     */
    public Mode modeFor(double randomValue) {
        return randomValue < share ? mode : Mode.NONE;
    }

    /**
     * Returns the multiplier of the durations of a call.
     *
     * @param randomValue random number of the call from [0, 1)
     */
    public double timeFactor(double randomValue) {
        return modeFor(randomValue) == Mode.SLOW ? factor : 1;
    }
}
