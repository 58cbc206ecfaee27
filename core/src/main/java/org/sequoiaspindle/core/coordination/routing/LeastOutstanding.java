package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.random.RandomGenerator;

/** Takes the endpoint with the fewest own calls in flight; a baseline. */
public final class LeastOutstanding implements EndpointChooser {

    @Override
    public Option<EndpointState> choose(
            GroupState group, CallProfile profile, long now, RandomGenerator random) {
        return group.open()
                .minBy(
                        Comparator.comparingInt((EndpointState endpoint) -> endpoint.inFlight())
                                .thenComparing(EndpointState::name));
    }
}
