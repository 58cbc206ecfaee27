package org.sequoiaspindle.core.protocol.request;

import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.protocol.request.RequestPlan.PlannedStage;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * One stage of one request with its input.
 *
 * @param plan plan of the request
 * @param planned the stage and its group
 * @param input input of the stage
 * @param profile call profile used by routing
 * @param traceParent trace context of the request's span
 */
public record StageCall(
        RequestPlan plan,
        PlannedStage planned,
        String input,
        CallProfile profile,
        String traceParent) {

    String name() {
        return planned.stage().name();
    }

    boolean idempotent() {
        return planned.stage().idempotent();
    }

    boolean streams() {
        return planned.stage().streams();
    }

    SizeClass sizeClass() {
        return profile.sizeClass();
    }
}
