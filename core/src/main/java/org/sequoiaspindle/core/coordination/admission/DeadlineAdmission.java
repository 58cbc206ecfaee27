package org.sequoiaspindle.core.coordination.admission;

import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.routing.AdmissionRule;
import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.GroupState;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.RefusalCause;

/**
 * Refuses a call if its predicted end, including the later stages and the mean deviation of the
 * service time of the call's stage, lies beyond its deadline. Without the deviation, half of the
 * calls admitted at the limit would end late. A call that is predicted to wait in no queue is
 * always admitted: it delays no other call, and without such calls an estimate of service time that
 * was raised during a slow phase would never be corrected.
 */
public final class DeadlineAdmission implements AdmissionRule {

    @Override
    public Option<RefusalCause> refusal(GroupState group, CallProfile profile, long now) {
        long waitMs = WaitPrediction.waitMs(group, profile);
        if (waitMs + profile.laterStagesWaitMs() == 0) {
            return Option.none();
        }
        long neededMs =
                waitMs
                        + group.model().expectedMs(profile)
                        + group.model().deviationMs(profile)
                        + profile.laterStagesMs();
        return profile.deadline().remaining(now) < neededMs
                ? Option.some(RefusalCause.NO_TIME)
                : Option.none();
    }
}
