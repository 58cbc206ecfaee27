package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.random.RandomGenerator;

/** Takes endpoints in turn without regard to load or health; a baseline. */
public final class RoundRobin implements EndpointChooser {

    @Override
    public Option<EndpointState> choose(
            GroupState group, CallProfile profile, long now, RandomGenerator random) {
        Vector<EndpointState> open = group.open();
        if (open.isEmpty()) {
            return Option.none();
        }
        return Option.some(open.get((int) (group.placements() % open.size())));
    }
}
