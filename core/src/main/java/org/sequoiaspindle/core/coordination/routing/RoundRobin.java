package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.random.RandomGenerator;

/** Chooses endpoints in turn, regardless of load and health; a baseline for comparison. */
public final class RoundRobin implements EndpointChooser {

    @Override
    public Option<EndpointState> choose(
            GroupState group, CallProfile profile, long now, RandomGenerator random) {
        Vector<EndpointState> openEndpoints = group.openEndpoints();
        if (openEndpoints.isEmpty()) {
            return Option.none();
        }
        return Option.some(openEndpoints.get((int) (group.assignedCount() % openEndpoints.size())));
    }
}
