package org.sequoiaspindle.core.coordination.routing;

/** Updates the state of an endpoint when a call on it ends. A pure function of its arguments. */
@FunctionalInterface
public interface HealthRule {

    /**
     * Returns the updated endpoint.
     *
     * @param endpoint the endpoint, with the ended call already removed from the running calls of
     *     the endpoint
     * @param call the call that ended
     */
    EndpointState update(
            GroupState group,
            EndpointState endpoint,
            RunningCall call,
            CallReport report,
            long now);
}
