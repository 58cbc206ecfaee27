package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.request.StreamAssembler.Progress;

/**
 * Progress of the attempts of a stage.
 *
 * @param attemptsStarted number of attempts started so far
 * @param activeAttempts numbers of the attempts in progress
 * @param callsInFlight numbers of the attempts that have sent a call and not ended
 * @param closed whether sending further calls is forbidden
 * @param winner number of the attempt whose output is used, 0 if no attempt has produced output
 * @param progress stream progress delivered to the caller by attempts that have ended
 * @param reports reports of the attempts that have ended
 * @param mayHaveRun whether an endpoint may have executed the stage in an attempt that has ended
 */
record StageExecutionState(
        int attemptsStarted,
        Set<Integer> activeAttempts,
        Set<Integer> callsInFlight,
        boolean closed,
        int winner,
        Progress progress,
        Vector<AttemptReport> reports,
        boolean mayHaveRun) {

    static StageExecutionState initial() {
        return new StageExecutionState(
                0,
                HashSet.empty(),
                HashSet.empty(),
                false,
                0,
                Progress.start(),
                Vector.empty(),
                false);
    }

    StageExecutionState startAttempt() {
        return new StageExecutionState(
                attemptsStarted + 1,
                activeAttempts.add(attemptsStarted + 1),
                callsInFlight,
                closed,
                winner,
                progress,
                reports,
                mayHaveRun);
    }

    StageExecutionState endAttempt(int number) {
        return new StageExecutionState(
                attemptsStarted,
                activeAttempts.remove(number),
                callsInFlight,
                closed,
                winner,
                progress,
                reports,
                mayHaveRun);
    }

    /** Adds the call of the attempt to the calls in flight, unless this state is closed. */
    StageExecutionState startCall(int number) {
        return closed
                ? this
                : new StageExecutionState(
                        attemptsStarted,
                        activeAttempts,
                        callsInFlight.add(number),
                        false,
                        winner,
                        progress,
                        reports,
                        mayHaveRun);
    }

    /** Forbids sending further calls. */
    StageExecutionState close() {
        return new StageExecutionState(
                attemptsStarted,
                activeAttempts,
                callsInFlight,
                true,
                winner,
                progress,
                reports,
                mayHaveRun);
    }

    /** Makes the attempt the winner unless the stage already has a winner. */
    StageExecutionState withWinnerIfNone(int number) {
        return winner != 0
                ? this
                : new StageExecutionState(
                        attemptsStarted,
                        activeAttempts,
                        callsInFlight,
                        closed,
                        number,
                        progress,
                        reports,
                        mayHaveRun);
    }

    StageExecutionState endCall(
            int number, AttemptReport report, CallResult result, Progress attemptProgress) {
        boolean winnerFailed = winner == number && !(result instanceof CallResult.Completed);
        return new StageExecutionState(
                attemptsStarted,
                activeAttempts.remove(number),
                callsInFlight.remove(number),
                closed,
                winnerFailed ? 0 : winner,
                winnerFailed ? attemptProgress.forResumption() : progress,
                reports.append(report),
                mayHaveRun || !result.provablyNotRun());
    }

    boolean anyActive() {
        return !activeAttempts.isEmpty();
    }

    /** Returns true if no other attempt is in progress and the attempt has not produced output. */
    boolean isOnlyActiveWithoutOutput(int number) {
        return winner == 0 && activeAttempts.size() == 1 && activeAttempts.contains(number);
    }

    /** Returns true if another attempt is the winner. */
    boolean hasOtherWinner(int number) {
        return winner != 0 && winner != number;
    }
}
