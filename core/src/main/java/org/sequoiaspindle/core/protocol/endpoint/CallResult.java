package org.sequoiaspindle.core.protocol.endpoint;

import io.vavr.control.Option;
import org.sequoiaspindle.core.state.RequestId;

/** Verdict on one attempt, classified by what can be proved about it. */
public sealed interface CallResult {

    /** What the endpoint said of itself, if it said anything. */
    default Option<LoadReport> load() {
        return Option.none();
    }

    /**
     * The endpoint answered in full.
     *
     * @param requestId request that the endpoint says it answered
     * @param attempt attempt that the endpoint says it answered
     * @param output answer of a stage that does not stream, empty otherwise
     * @param tokens total number of tokens of a stream, counted from position 0
     */
    record Completed(
            RequestId requestId, int attempt, String output, long tokens, Option<LoadReport> load)
            implements CallResult {}

    /** No byte of the call left this process, so the endpoint did not run it. */
    record NotSent(String reason) implements CallResult {}

    /** The endpoint refused the call before executing it. */
    record Refused(String reason, Option<LoadReport> load) implements CallResult {}

    /** The endpoint executed the call and reported an error. */
    record Failed(String reason, Option<LoadReport> load) implements CallResult {}

    /** A byte of the call may have arrived and no verdict came. */
    record Unknown(String reason) implements CallResult {}

    /** Whether it is proved that the endpoint did not execute the call. */
    default boolean provablyNotRun() {
        return this instanceof NotSent || this instanceof Refused;
    }
}
