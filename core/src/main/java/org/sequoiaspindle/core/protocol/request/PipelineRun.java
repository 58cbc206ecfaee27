package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.Vector;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.protocol.request.RequestPlan.PlannedStage;
import org.sequoiaspindle.core.state.Outcome;

/** Runs the stages of one request in order; the output of each is the input of the next. */
final class PipelineRun {

    private final RequestServices services;
    private final RequestPlan plan;
    private final TokenSink sink;
    private final String traceParent;
    private final Profiles profiles;

    /** Predicted service times that the groups of later stages count on, by stage. */
    private final Vector<Long> committedMs;

    PipelineRun(RequestServices services, RequestPlan plan, TokenSink sink, String traceParent) {
        this.services = services;
        this.plan = plan;
        this.sink = sink;
        this.traceParent = traceParent;
        this.profiles = new Profiles(services.groups());
        this.committedMs =
                Vector.range(0, plan.stages().size())
                        .map(index -> index == 0 ? 0 : profiles.serviceMs(plan, index));
    }

    CompletionStage<Answer> start() {
        CallProfile first = profiles.profile(plan, 0);
        commit(1, 1);
        return runFrom(0, plan.input(), first, Vector.empty(), false);
    }

    private CompletionStage<Answer> runFrom(
            int index,
            String input,
            CallProfile profile,
            Vector<StageReport> before,
            boolean mayHaveRun) {
        boolean last = index == plan.stages().size() - 1;
        PlannedStage planned =
                plan.stages()
                        .get(index)
                        .onUsableGroup(name -> services.groups().group(name).state().isOpen());
        StageCall call = new StageCall(plan, planned, input, profile, traceParent);
        return new StageRun(services, call, last ? sink : TokenSink.DISCARD)
                .start()
                .thenCompose(outcome -> next(index, outcome, before, mayHaveRun));
    }

    private CompletionStage<Answer> next(
            int index, StageOutcome outcome, Vector<StageReport> before, boolean ranBefore) {
        Vector<StageReport> reports = before.appendAll(outcome.reports());
        boolean mayHaveRun = ranBefore || outcome.mayHaveRun();
        boolean last = index == plan.stages().size() - 1;
        if (outcome.outcome() != Outcome.ANSWERED || last) {
            commit(index + 1, -1);
            return CompletableFuture.completedFuture(answer(outcome, reports, mayHaveRun));
        }
        services.groups()
                .group(plan.stages().get(index + 1).group())
                .commit(-committedMs.get(index + 1));
        CallProfile profile = profiles.profile(plan, index + 1);
        return runFrom(index + 1, outcome.output(), profile, reports, mayHaveRun);
    }

    private void commit(int fromIndex, int sign) {
        for (int index = fromIndex; index < plan.stages().size(); index++) {
            services.groups()
                    .group(plan.stages().get(index).group())
                    .commit(sign * committedMs.get(index));
        }
    }

    private Answer answer(StageOutcome outcome, Vector<StageReport> reports, boolean mayHaveRun) {
        return new Answer(
                plan.id(),
                whole(outcome, mayHaveRun),
                outcome.reason(),
                outcome.detail(),
                outcome.output(),
                plan.generation(),
                reports);
    }

    /** A request counts as not run only if none of its stages may have run. */
    private static Outcome whole(StageOutcome outcome, boolean mayHaveRun) {
        if (outcome.outcome() == Outcome.NOT_RUN && mayHaveRun) {
            return outcome.reason() == Reason.NO_TIME ? Outcome.DEADLINE_EXCEEDED : Outcome.FAILED;
        }
        if (outcome.outcome() == Outcome.DEADLINE_EXCEEDED && !mayHaveRun) {
            return Outcome.NOT_RUN;
        }
        return outcome.outcome();
    }
}
