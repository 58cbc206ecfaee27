package org.sequoiaspindle.core.coordination.admission;

import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.routing.AdmissionRule;
import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.GroupState;
import org.sequoiaspindle.core.coordination.routing.Placement.RefusalCause;

/** Refuses a call whose predicted end, with the later stages, lies beyond its deadline. */
public final class DeadlineAdmission implements AdmissionRule {

    @Override
    public Option<RefusalCause> refusal(GroupState group, CallProfile profile, long now) {
        long needed =
                WaitPrediction.waitMs(group, profile)
                        + group.model().expectedMs(profile)
                        + profile.laterMs();
        return profile.deadline().remaining(now) < needed
                ? Option.some(RefusalCause.NO_TIME)
                : Option.none();
    }
}
