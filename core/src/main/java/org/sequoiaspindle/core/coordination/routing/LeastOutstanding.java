package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint with the fewest calls in flight from this instance; a baseline for
 * comparison.
 */
public final class LeastOutstanding implements EndpointChooser {

    @Override
    public Option<EndpointState> choose(
            GroupState group, CallProfile profile, long now, RandomGenerator random) {
        return group.openEndpoints()
                .minBy(
                        Comparator.comparingInt((EndpointState endpoint) -> endpoint.inFlight())
                                .thenComparing(EndpointState::name));
    }
}
