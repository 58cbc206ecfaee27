package org.sequoiaspindle.core.coordination.routing;

/**
 * Keeps the last load report and tracks neither slowness nor failures; a baseline for comparison.
 */
public final class NoHealthTracking implements HealthRule {

    @Override
    public EndpointState update(
            GroupState group,
            EndpointState endpoint,
            RunningCall call,
            CallReport report,
            long now) {
        return report.load().map(load -> endpoint.withLoad(load, now)).getOrElse(endpoint);
    }
}
