package org.sequoiaspindle.core.coordination.forwarding.admission;

import org.sequoiaspindle.core.state.forwarding.Route;

/** Decides how to proceed after an attempt. Implementations are pure functions. */
@FunctionalInterface
public interface RetryPolicy {

    /** Next action for the request. */
    enum Action {
        /** Send to another replica without using the retry budget: no replica has received it. */
        RETRY_UNBUDGETED,
        /** Send to another replica if the retry budget allows it. */
        RETRY_WITHIN_BUDGET,
        /** Recompute the inputs, then send again if the retry budget allows it. */
        RECOMPUTE_INPUTS,
        /** Finish the request with the result of this attempt. */
        FINISH
    }

    /** Minimum remaining time in which another attempt can succeed, in milliseconds. */
    long MIN_LEFT_MS = 50;

    /** Number of failed connection attempts after which the request ends. */
    int MAX_UNSENT_ATTEMPTS = 4;

    /**
     * Decides on the next action.
     *
     * @param sentAttempts number of replicas to which the request was sent
     * @param unsentAttempts number of attempts that failed before anything was sent
     * @param remainingMillis time until the deadline of the request
     */
    Action decide(
            Route route,
            AttemptResult result,
            int sentAttempts,
            int unsentAttempts,
            long remainingMillis);

    /**
     * Retries a request that was certainly not executed, or that may be executed more than once, up
     * to the route's limit of attempts.
     */
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
                boolean isSafeToRetry = result == AttemptResult.NOT_EXECUTED || route.isRetryable();
                return isSafeToRetry && sentAttempts < route.maxAttempts()
                        ? Action.RETRY_WITHIN_BUDGET
                        : Action.FINISH;
            };

    /** Returns the reason reported to the client if a request ends without a replica's response. */
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
