package org.sequoiaspindle.core.coordination.routing;

/** The decision on a call that was submitted to a group. */
public sealed interface RoutingDecision {

    /**
     * The call is to be sent to the endpoint. The call holds a slot of the endpoint until the end
     * of the call is reported.
     */
    record Assigned(String endpoint, String address) implements RoutingDecision {}

    /** The call must not be sent. */
    record Refused(RefusalCause cause) implements RoutingDecision {}

    /** Cause of a refusal. */
    enum RefusalCause {
        /** The group has no endpoint that may receive new calls. */
        NO_ENDPOINT,
        /** The deadline cannot be met. */
        NO_TIME,
        /** The caller withdrew the call. */
        WITHDRAWN
    }
}
