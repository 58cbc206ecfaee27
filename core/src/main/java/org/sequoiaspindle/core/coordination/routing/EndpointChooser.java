package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;
import java.util.random.RandomGenerator;

/** Chooses an endpoint for a call. A pure function of its arguments. */
@FunctionalInterface
public interface EndpointChooser {

    /** Returns the endpoint on which the call is placed now, or none if the call has to wait. */
    Option<EndpointState> choose(
            GroupState group, CallProfile profile, long now, RandomGenerator random);
}
