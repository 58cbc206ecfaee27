package org.sequoiaspindle.core.coordination.forwarding;

import org.sequoiaspindle.core.state.forwarding.Route;

/** Decides what follows an attempt that brought no good answer. A pure function. */
@FunctionalInterface
public interface RetryPolicy {

    /** What follows. */
    enum Action {
        /** Send to another replica; costs no budget since no replica has seen the request. */
        RETRY_UNBUDGETED,
        /** Send to another replica if the budget of repeats allows it. */
        RETRY_WITHIN_BUDGET,
        /** Make the inputs again, then send again within the budget. */
        RECOMPUTE_INPUTS,
        /** End the request with the result of this attempt. */
        FINISH
    }

    /** Shortest time left in which another attempt can bring an answer, in milliseconds. */
    long MIN_LEFT_MS = 50;

    /** Connection attempts of one request that may fail before it is given up. */
    int MAX_UNSENT_ATTEMPTS = 4;

    /**
     * Decides.
     *
     * @param sentAttempts replicas that the request was sent to
     * @param unsentAttempts attempts of which nothing left this instance
     * @param remainingMillis time until the request is given up
     */
    Action decide(
            Route route,
            AttemptResult result,
            int sentAttempts,
            int unsentAttempts,
            long remainingMillis);

    /** Repeats what certainly has not run, or may run more than once, up to the route's limit. */
    RetryPolicy SAFE =
            (route, result, sentAttempts, unsentAttempts, remainingMillis) -> {
                if (result == AttemptResult.ANSWERED || remainingMillis < MIN_LEFT_MS) {
                    return Action.FINISH;
                }
                if (result == AttemptResult.NOT_SENT) {
                    return unsentAttempts < MAX_UNSENT_ATTEMPTS
                            ? Action.RETRY_UNBUDGETED
                            : Action.FINISH;
                }
                if (result == AttemptResult.INPUTS_GONE) {
                    return Action.RECOMPUTE_INPUTS;
                }
                boolean safeToRetry = result == AttemptResult.NOT_EXECUTED || route.isRetryable();
                return safeToRetry && sentAttempts < route.maxAttempts()
                        ? Action.RETRY_WITHIN_BUDGET
                        : Action.FINISH;
            };

    /** How the client is told of a request that ended without an answer of a replica. */
    static RejectionReason rejectionReason(AttemptResult result, boolean deadlineReached) {
        return switch (result) {
            case NOT_SENT ->
                    deadlineReached ? RejectionReason.TOO_LATE : RejectionReason.NO_REPLICA;
            case NOT_EXECUTED -> deadlineReached ? RejectionReason.TOO_LATE : RejectionReason.FULL;
            case INPUTS_GONE -> RejectionReason.STAGE_FAILED;
            case ANSWERED, FAILED, UNKNOWN ->
                    deadlineReached ? RejectionReason.TIMED_OUT : RejectionReason.ANSWER_LOST;
        };
    }
}
