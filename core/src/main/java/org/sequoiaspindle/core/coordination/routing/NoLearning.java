package org.sequoiaspindle.core.coordination.routing;

/** Keeps nothing but the last load report; a baseline. */
public final class NoLearning implements HealthRule {

    @Override
    public EndpointState after(
            GroupState group,
            EndpointState endpoint,
            RunningCall call,
            CallReport report,
            long now) {
        return report.load().map(load -> endpoint.withLoad(load, now)).getOrElse(endpoint);
    }
}
