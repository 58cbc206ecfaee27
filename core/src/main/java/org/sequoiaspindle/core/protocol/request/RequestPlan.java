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
 * An accepted request, resolved against the snapshot on which it runs from start to end.
 *
 * @param id identifier of the request
 * @param generation generation of the snapshot
 * @param organisation organisation of the caller
 * @param pipeline pipeline to run
 * @param stages stages in order with the groups that run them
 * @param input input of the first stage
 * @param maxTokens bound on the tokens of the answer
 * @param deadline deadline of the request
 * @param idempotencyKey key of the caller, if it gave one
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
     * @param group name of its endpoint group under the routing rules
     * @param overflow groups to use in turn when the group has no usable endpoint
     */
    public record PlannedStage(Stage stage, String group, Vector<String> overflow) {

        /** The stage on the first group that is usable, unchanged if none is. */
        PlannedStage onUsableGroup(Predicate<String> usable) {
            return overflow.prepend(group)
                    .find(usable)
                    .map(found -> new PlannedStage(stage, found, overflow))
                    .getOrElse(this);
        }
    }

    /** Key under which the request must run at most once, if it has a call not to be repeated. */
    public Option<String> claimKey() {
        boolean repeatable = stages.forAll(planned -> planned.stage().idempotent());
        return repeatable ? Option.none() : idempotencyKey;
    }
}
