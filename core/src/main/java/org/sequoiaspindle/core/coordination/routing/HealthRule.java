package org.sequoiaspindle.core.coordination.routing;

/** Learns from the end of a call. A pure function of its arguments. */
@FunctionalInterface
public interface HealthRule {

    /**
     * The endpoint after a call that has been removed from its running calls.
     *
     * @param call the call that ended
     */
    EndpointState after(
            GroupState group,
            EndpointState endpoint,
            RunningCall call,
            CallReport report,
            long now);
}
