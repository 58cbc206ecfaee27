package org.sequoiaspindle.core.protocol.request;

import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.Assigned;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;

/**
 * An attempt of a stage whose call has been sent.
 *
 * @param stage the stage
 * @param number number of the attempt within the stage, from 1
 * @param profile call profile by which the endpoint was chosen
 * @param callId identifier of the call in the scheduler
 * @param assignment name and address of the endpoint
 * @param submittedAt time at which the attempt was submitted to the scheduler, in milliseconds
 * @param sentAt time at which the call was sent, in milliseconds
 */
record SentAttempt(
        StageCall stage,
        int number,
        CallProfile profile,
        long callId,
        Assigned assignment,
        long submittedAt,
        long sentAt) {

    /** Builds the call. A streaming call resumes at the position that earlier attempts reached. */
    EndpointCall toCall(StreamAssembler.Progress progress, String traceParent) {
        return new EndpointCall(
                stage.plan().id(),
                stage.plan().organisation().name(),
                stage.name(),
                number,
                assignment.endpoint(),
                assignment.address(),
                stage.input(),
                stage.plan().maxTokens(),
                progress.position(),
                progress.text(),
                stage.sizeClass(),
                stage.streams(),
                stage.plan().deadline().remaining(sentAt),
                traceParent);
    }

    /** Returns the actual size of the call in tokens. */
    long actualSize(StreamAssembler stream) {
        return stage.streams() ? Math.max(1, stream.progress().position()) : profile.size();
    }

    /** Creates the report of the attempt for the caller and the metrics. */
    AttemptReport toReport(CallResult result, long endedAt) {
        return new AttemptReport(
                stage.name(),
                stage.plannedStage().group(),
                assignment.endpoint(),
                number,
                result.getClass().getSimpleName(),
                sentAt - submittedAt,
                endedAt - sentAt);
    }
}
