package org.sequoiaspindle.core.coordination.routing;

/**
 * The decisions that routing leaves open.
 *
 * @param chooser chooses endpoints
 * @param order orders waiting tickets
 * @param health learns from results
 * @param admission refuses calls that would be wasted
 */
public record Policy(
        EndpointChooser chooser, QueueOrder order, HealthRule health, AdmissionRule admission) {

    public Policy withChooser(EndpointChooser other) {
        return new Policy(other, order, health, admission);
    }

    public Policy withOrder(QueueOrder other) {
        return new Policy(chooser, other, health, admission);
    }

    public Policy withHealth(HealthRule other) {
        return new Policy(chooser, order, other, admission);
    }

    public Policy withAdmission(AdmissionRule other) {
        return new Policy(chooser, order, health, other);
    }
}
