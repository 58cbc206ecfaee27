package org.sequoiaspindle.core.protocol.request;

import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.Placement.Assigned;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;

/**
 * An attempt of a stage that has been sent.
 *
 * @param stage the stage
 * @param number number of the attempt within the stage, from 1
 * @param profile profile under which the endpoint was assigned
 * @param ticket ticket that holds the endpoint's slot
 * @param assigned the endpoint
 * @param submittedAt time at which an endpoint was asked for, in milliseconds
 * @param sentAt time at which the call was sent, in milliseconds
 */
record SentAttempt(
        StageCall stage,
        int number,
        CallProfile profile,
        long ticket,
        Assigned assigned,
        long submittedAt,
        long sentAt) {

    /** The call, which resumes a stream where earlier attempts ended. */
    EndpointCall call(StreamAssembler.Progress progress, String traceParent) {
        return new EndpointCall(
                stage.plan().id(),
                stage.plan().organisation().name(),
                stage.name(),
                number,
                assigned.endpoint(),
                assigned.address(),
                stage.input(),
                stage.plan().maxTokens(),
                progress.position(),
                progress.text(),
                stage.sizeClass(),
                stage.streams(),
                stage.plan().deadline().remaining(sentAt),
                traceParent);
    }

    /** Size that the call turned out to have, in tokens. */
    long size(StreamAssembler stream) {
        return stage.streams() ? Math.max(1, stream.progress().position()) : profile.size();
    }

    /** What the caller and the metrics are told of the attempt. */
    StageReport report(CallResult result, long endedAt) {
        return new StageReport(
                stage.name(),
                stage.planned().group(),
                assigned.endpoint(),
                number,
                result.getClass().getSimpleName(),
                sentAt - submittedAt,
                endedAt - sentAt);
    }
}
