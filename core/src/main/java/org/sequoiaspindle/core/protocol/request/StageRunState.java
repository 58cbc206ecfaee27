package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.request.StreamAssembler.Progress;

/**
 * Where the attempts of a stage stand.
 *
 * @param started attempts started so far
 * @param active numbers of the attempts in progress
 * @param calls numbers of the attempts that have called an endpoint and not ended
 * @param closed whether no further call may be sent
 * @param owner attempt whose output counts, 0 if none has begun to answer
 * @param progress what has been passed on to the caller by attempts that have ended
 * @param reports attempts that have ended
 * @param mayHaveRun whether an endpoint may have executed the stage in an attempt that has ended
 */
record StageRunState(
        int started,
        Set<Integer> active,
        Set<Integer> calls,
        boolean closed,
        int owner,
        Progress progress,
        Vector<StageReport> reports,
        boolean mayHaveRun) {

    static StageRunState initial() {
        return new StageRunState(
                0,
                HashSet.empty(),
                HashSet.empty(),
                false,
                0,
                Progress.start(),
                Vector.empty(),
                false);
    }

    StageRunState startAttempt() {
        return new StageRunState(
                started + 1,
                active.add(started + 1),
                calls,
                closed,
                owner,
                progress,
                reports,
                mayHaveRun);
    }

    StageRunState endAttempt(int number) {
        return new StageRunState(
                started,
                active.remove(number),
                calls,
                closed,
                owner,
                progress,
                reports,
                mayHaveRun);
    }

    /** The attempt may send its call, unless the run has been closed. */
    StageRunState startCall(int number) {
        return closed
                ? this
                : new StageRunState(
                        started,
                        active,
                        calls.add(number),
                        false,
                        owner,
                        progress,
                        reports,
                        mayHaveRun);
    }

    /** From now on no call is sent. */
    StageRunState close() {
        return new StageRunState(
                started, active, calls, true, owner, progress, reports, mayHaveRun);
    }

    /** The attempt becomes the one whose output counts, unless another one is already. */
    StageRunState claimStream(int number) {
        return owner != 0
                ? this
                : new StageRunState(
                        started, active, calls, closed, number, progress, reports, mayHaveRun);
    }

    StageRunState endCall(int number, StageReport report, CallResult result, Progress reached) {
        boolean failedOwner = owner == number && !(result instanceof CallResult.Completed);
        return new StageRunState(
                started,
                active.remove(number),
                calls.remove(number),
                closed,
                failedOwner ? 0 : owner,
                failedOwner ? reached.forResumption() : progress,
                reports.append(report),
                mayHaveRun || !result.provablyNotRun());
    }

    boolean anyActive() {
        return !active.isEmpty();
    }

    /** Whether the attempt is the only one in progress and has not begun to answer. */
    boolean isOnlyAndSilent(int number) {
        return owner == 0 && active.size() == 1 && active.contains(number);
    }

    /** Whether another attempt's output counts. */
    boolean lostTo(int number) {
        return owner != 0 && owner != number;
    }
}
