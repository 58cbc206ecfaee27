package org.sequoiaspindle.standins.state;

/**
 * Fault of an endpoint stand-in.
 *
 * @param factor multiplies all times in mode {@code SLOW}
 * @param durationMs time after which the fault ends by itself, 0 for no end
 * @param share share of the calls that are hit, 0 to 1
 */
public record EndpointFault(Mode mode, double factor, long durationMs, double share) {

    /** Kinds of fault. */
    public enum Mode {
        NONE,
        /** All times are multiplied by the factor. */
        SLOW,
        /** Calls are accepted and read, and get no answer while the fault is on. */
        FROZEN,
        /** Calls are refused before execution. */
        REFUSE,
        /** Calls are executed and answered with status 500. */
        ERROR,
        /** The stream or body ends halfway and the connection is closed. */
        CUT,
        /** Calls are executed; the connection is closed without an answer. */
        CLOSE_BEFORE_ANSWER,
        /** Each token event is sent twice. */
        DUPLICATE,
        /** Two neighbouring token events in the middle of the stream are swapped. */
        REORDER,
        /** The answer claims another request id. */
        WRONG_ID
    }

    public static EndpointFault none() {
        return of(Mode.NONE);
    }

    /** A fault that hits all calls until it is replaced. */
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

    /** The mode that applies to a call with this draw from [0, 1). */
    public Mode modeFor(double draw) {
        return draw < share ? mode : Mode.NONE;
    }

    /** Factor on the times of a call with this draw. */
    public double timeFactor(double draw) {
        return modeFor(draw) == Mode.SLOW ? factor : 1;
    }
}
