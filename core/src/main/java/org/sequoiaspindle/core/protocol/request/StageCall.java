package org.sequoiaspindle.core.protocol.request;

import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.protocol.request.RequestPlan.PlannedStage;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * One stage of one request with the input of the stage.
 *
 * @param plan plan of the request
 * @param plannedStage the stage and the group that runs the stage
 * @param input input of the stage
 * @param profile call profile used by routing
 * @param traceParent trace context of the request's span
 */
public record StageCall(
        RequestPlan plan,
        PlannedStage plannedStage,
        String input,
        CallProfile profile,
        String traceParent) {

    String name() {
        return plannedStage.stage().name();
    }

    boolean idempotent() {
        return plannedStage.stage().idempotent();
    }

    boolean streams() {
        return plannedStage.stage().streams();
    }

    SizeClass sizeClass() {
        return profile.sizeClass();
    }
}
