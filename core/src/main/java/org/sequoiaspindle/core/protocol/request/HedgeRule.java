package org.sequoiaspindle.core.protocol.request;

import io.vavr.control.Option;
import org.sequoiaspindle.core.state.SizeClass;

/** Decides when a second attempt is started beside one that is slow. A pure function. */
@FunctionalInterface
public interface HedgeRule {

    /** Never starts a second attempt beside another. */
    HedgeRule NEVER = (stage, expectedMs, deviationMs) -> Option.none();

    /**
     * Delay after which the second attempt starts, in milliseconds, unless the first has begun to
     * answer; none for no second attempt.
     *
     * @param expectedMs predicted service time
     * @param deviationMs mean deviation of the service time
     */
    Option<Long> delayMs(StageCall stage, long expectedMs, long deviationMs);

    /** Hedges short idempotent calls that take much longer than predicted. */
    static HedgeRule beyondExpectation(double factor, long minMs) {
        return (stage, expectedMs, deviationMs) ->
                stage.idempotent() && stage.sizeClass() == SizeClass.SHORT
                        ? Option.some(
                                Math.max(minMs, Math.round(factor * (expectedMs + deviationMs))))
                        : Option.none();
    }
}
