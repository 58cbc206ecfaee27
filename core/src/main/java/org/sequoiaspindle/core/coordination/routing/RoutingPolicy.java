package org.sequoiaspindle.core.coordination.routing;

/**
 * The interchangeable decision rules of a group scheduler.
 *
 * @param chooser chooses the endpoint for a call
 * @param order chooses the next pending call to be placed
 * @param health updates the state of an endpoint when a call ends
 * @param admission refuses calls that would miss their deadline
 */
public record RoutingPolicy(
        EndpointChooser chooser, QueueOrder order, HealthRule health, AdmissionRule admission) {

    public RoutingPolicy withChooser(EndpointChooser other) {
        return new RoutingPolicy(other, order, health, admission);
    }

    public RoutingPolicy withOrder(QueueOrder other) {
        return new RoutingPolicy(chooser, other, health, admission);
    }

    public RoutingPolicy withHealth(HealthRule other) {
        return new RoutingPolicy(chooser, order, other, admission);
    }

    public RoutingPolicy withAdmission(AdmissionRule other) {
        return new RoutingPolicy(chooser, order, health, other);
    }
}
