package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.RefusalCause;

/** Refuses calls whose result would come too late. A pure function of its arguments. */
@FunctionalInterface
public interface AdmissionRule {

    /** Returns the cause for which the call is refused, or none if the call is admitted. */
    Option<RefusalCause> refusal(GroupState group, CallProfile profile, long now);
}
