package org.sequoiaspindle.core.protocol.request;

import io.vavr.control.Option;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Decides whether and when a second attempt (a hedge) starts while a slow first one is still
 * running. A pure function.
 */
@FunctionalInterface
public interface HedgeRule {

    /** Never hedges. */
    HedgeRule NEVER = (stage, expectedMs, deviationMs) -> Option.none();

    /**
     * Returns the delay in milliseconds after which the hedge starts if the first attempt has not
     * produced output by then, or none if no hedge starts.
     *
     * @param expectedMs predicted service time
     * @param deviationMs mean deviation of the service time
     */
    Option<Long> delayMs(StageCall stage, long expectedMs, long deviationMs);

    /**
     * Returns a rule that hedges short idempotent calls. The hedge starts after {@code factor}
     * times the sum of the predicted service time and the mean deviation of the service time, but
     * not before {@code minMs}.
     */
    static HedgeRule afterPredictedTime(double factor, long minMs) {
        return (stage, expectedMs, deviationMs) ->
                stage.idempotent() && stage.sizeClass() == SizeClass.SHORT
                        ? Option.some(
                                Math.max(minMs, Math.round(factor * (expectedMs + deviationMs))))
                        : Option.none();
    }
}
