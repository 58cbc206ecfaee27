package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.Vector;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.protocol.request.RequestPlan.PlannedStage;
import org.sequoiaspindle.core.state.Outcome;

/**
 * Runs the stages of one request in order. The output of each stage is the input of the next stage.
 */
final class PipelineExecution {

    private final RequestDependencies dependencies;
    private final RequestPlan plan;
    private final TokenSink sink;
    private final String traceParent;
    private final CallProfileFactory profileFactory;

    /**
     * Predicted service time of each stage, reported to the groups of the later stages as committed
     * work. 0 for the first stage, which is submitted at once.
     */
    private final Vector<Long> committedWorkMs;

    PipelineExecution(
            RequestDependencies dependencies,
            RequestPlan plan,
            TokenSink sink,
            String traceParent) {
        this.dependencies = dependencies;
        this.plan = plan;
        this.sink = sink;
        this.traceParent = traceParent;
        this.profileFactory = new CallProfileFactory(dependencies.groups());
        this.committedWorkMs =
                Vector.range(0, plan.stages().size())
                        .map(index -> index == 0 ? 0 : profileFactory.serviceMs(plan, index));
    }

    CompletionStage<Answer> start() {
        CallProfile first = profileFactory.profile(plan, 0);
        updateCommittedWork(1, 1);
        return runStage(0, plan.input(), first, Vector.empty(), false);
    }

    private CompletionStage<Answer> runStage(
            int index,
            String input,
            CallProfile profile,
            Vector<AttemptReport> earlierReports,
            boolean mayHaveRun) {
        boolean last = index == plan.stages().size() - 1;
        PlannedStage plannedStage =
                plan.stages()
                        .get(index)
                        .onUsableGroup(
                                name ->
                                        dependencies
                                                .groups()
                                                .scheduler(name)
                                                .state()
                                                .hasOpenEndpoint());
        StageCall call = new StageCall(plan, plannedStage, input, profile, traceParent);
        return new StageExecution(dependencies, call, last ? sink : TokenSink.DISCARD)
                .start()
                .thenCompose(outcome -> onStageEnd(index, outcome, earlierReports, mayHaveRun));
    }

    private CompletionStage<Answer> onStageEnd(
            int index,
            StageOutcome outcome,
            Vector<AttemptReport> earlierReports,
            boolean earlierMayHaveRun) {
        Vector<AttemptReport> reports = earlierReports.appendAll(outcome.reports());
        boolean mayHaveRun = earlierMayHaveRun || outcome.mayHaveRun();
        boolean last = index == plan.stages().size() - 1;
        if (outcome.outcome() != Outcome.ANSWERED || last) {
            updateCommittedWork(index + 1, -1);
            return CompletableFuture.completedFuture(createAnswer(outcome, reports, mayHaveRun));
        }
        dependencies
                .groups()
                .scheduler(plan.stages().get(index + 1).group())
                .addCommittedWork(-committedWorkMs.get(index + 1));
        CallProfile profile = profileFactory.profile(plan, index + 1);
        return runStage(index + 1, outcome.output(), profile, reports, mayHaveRun);
    }

    private void updateCommittedWork(int fromIndex, int sign) {
        for (int index = fromIndex; index < plan.stages().size(); index++) {
            dependencies
                    .groups()
                    .scheduler(plan.stages().get(index).group())
                    .addCommittedWork(sign * committedWorkMs.get(index));
        }
    }

    private Answer createAnswer(
            StageOutcome outcome, Vector<AttemptReport> reports, boolean mayHaveRun) {
        return new Answer(
                plan.id(),
                requestOutcome(outcome, mayHaveRun),
                outcome.reason(),
                outcome.detail(),
                outcome.output(),
                plan.generation(),
                reports);
    }

    /**
     * Returns the outcome of the request. The request counts as not run only if it is proved that
     * no endpoint ran any stage of the request.
     */
    private static Outcome requestOutcome(StageOutcome outcome, boolean mayHaveRun) {
        if (outcome.outcome() == Outcome.NOT_RUN && mayHaveRun) {
            return outcome.reason() == OutcomeReason.NO_TIME
                    ? Outcome.DEADLINE_EXCEEDED
                    : Outcome.FAILED;
        }
        if (outcome.outcome() == Outcome.DEADLINE_EXCEEDED && !mayHaveRun) {
            return Outcome.NOT_RUN;
        }
        return outcome.outcome();
    }
}
