package org.sequoiaspindle.core.coordination.admission;

import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.routing.AdmissionRule;
import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.GroupState;
import org.sequoiaspindle.core.coordination.routing.Placement.RefusalCause;

/**
 * Refuses a call whose predicted end, with the later stages and the ordinary deviation of its own
 * stage, lies beyond its deadline. Without the deviation half of the calls that are admitted at the
 * limit would end late. A call that would wait nowhere is always tried: it takes no one's place,
 * and without calls a service time that was learned in a slow phase would never be corrected.
 */
public final class DeadlineAdmission implements AdmissionRule {

    @Override
    public Option<RefusalCause> refusal(GroupState group, CallProfile profile, long now) {
        long waitMs = WaitPrediction.waitMs(group, profile);
        if (waitMs + profile.laterWaitMs() == 0) {
            return Option.none();
        }
        long needed =
                waitMs
                        + group.model().expectedMs(profile)
                        + group.model().deviationMs(profile)
                        + profile.laterMs();
        return profile.deadline().remaining(now) < needed
                ? Option.some(RefusalCause.NO_TIME)
                : Option.none();
    }
}
