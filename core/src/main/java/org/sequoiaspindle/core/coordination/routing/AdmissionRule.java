package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.routing.Placement.RefusalCause;

/** Refuses calls that would be wasted. A pure function of its arguments. */
@FunctionalInterface
public interface AdmissionRule {

    /** Why the call shall not be queued or placed, none to admit it. */
    Option<RefusalCause> refusal(GroupState group, CallProfile profile, long now);
}
