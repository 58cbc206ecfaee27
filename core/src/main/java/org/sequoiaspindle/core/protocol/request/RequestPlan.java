package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Predicate;
import org.sequoiaspindle.core.state.Deadline;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.Stage;

/**
 * An accepted request, resolved against the configuration snapshot that the request uses until its
 * end.
 *
 * @param id identifier of the request
 * @param generation generation of the snapshot
 * @param organisation organisation of the caller
 * @param pipeline pipeline to run
 * @param stages stages of the pipeline in order, each with the group that runs the stage
 * @param input input of the first stage
 * @param maxTokens maximum number of tokens in the answer
 * @param deadline deadline of the request
 * @param idempotencyKey idempotency key, if the caller gave one
 * @param traceParent trace context of the caller, empty for none
 */
public record RequestPlan(
        RequestId id,
        long generation,
        Organisation organisation,
        Pipeline pipeline,
        Vector<PlannedStage> stages,
        String input,
        int maxTokens,
        Deadline deadline,
        Option<String> idempotencyKey,
        String traceParent) {

    /**
     * A stage and the group that runs it.
     *
     * @param stage the stage
     * @param group name of the endpoint group chosen by the routing rules
     * @param overflow overflow groups, tried in this order if the group has no usable endpoint
     */
    public record PlannedStage(Stage stage, String group, Vector<String> overflow) {

        /** Returns this stage on the first usable group, or this object if no group is usable. */
        PlannedStage onUsableGroup(Predicate<String> usable) {
            return overflow.prepend(group)
                    .find(usable)
                    .map(usableGroup -> new PlannedStage(stage, usableGroup, overflow))
                    .getOrElse(this);
        }
    }

    /**
     * Returns the idempotency key to claim before the request runs. The result is none if all
     * stages of the request are idempotent or the caller gave no key.
     */
    public Option<String> claimKey() {
        boolean allIdempotent = stages.forAll(plannedStage -> plannedStage.stage().idempotent());
        return allIdempotent ? Option.none() : idempotencyKey;
    }
}
