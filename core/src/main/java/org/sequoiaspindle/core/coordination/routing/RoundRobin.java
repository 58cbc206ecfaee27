package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.random.RandomGenerator;

/** Chooses endpoints in turn, regardless of load and health; a baseline for comparison. */
public final class RoundRobin implements EndpointChooser {

    @Override
    public Option<EndpointState> choose(
            GroupState group, CallProfile profile, long now, RandomGenerator random) {
        Vector<EndpointState> open = group.openEndpoints();
        if (open.isEmpty()) {
            return Option.none();
        }
        return Option.some(open.get((int) (group.assignedCount() % open.size())));
    }
}
