package org.sequoiaspindle.core.protocol.request;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vavr.collection.HashSet;
import org.sequoiaspindle.core.coordination.admission.WaitPrediction;
import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.GroupSchedulers;
import org.sequoiaspindle.core.coordination.routing.GroupState;
import org.sequoiaspindle.core.protocol.request.RequestPlan.PlannedStage;
import org.sequoiaspindle.core.state.SizeClass;
import org.sequoiaspindle.core.state.Stage;

/**
 * Builds the call profiles by which routing schedules the stages of a request, including the
 * predicted time of the later stages.
 */
public final class CallProfileFactory {

    private static final int AFFINITY_PREFIX_CHARACTERS = 256;
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final GroupSchedulers groups;

    public CallProfileFactory(GroupSchedulers groups) {
        this.groups = groups;
    }

    /**
     * Returns the call profile of the stage at {@code index}, with the predicted time of the later
     * stages.
     */
    public CallProfile profile(RequestPlan plan, int index) {
        long laterMs = 0;
        long laterWaitMs = 0;
        for (int later = plan.stages().size() - 1; later > index; later--) {
            PlannedStage plannedStage = plan.stages().get(later);
            long waitMs = waitMs(plan, plannedStage);
            laterMs += waitMs + serviceMs(plan, later);
            laterWaitMs += waitMs;
        }
        return profile(plan, plan.stages().get(index).stage(), laterMs, laterWaitMs);
    }

    /** Returns the predicted service time of the stage at {@code index}, in milliseconds. */
    public long serviceMs(RequestPlan plan, int index) {
        PlannedStage plannedStage = plan.stages().get(index);
        GroupState group = groups.scheduler(plannedStage.group()).state();
        return group.model().expectedMs(profile(plan, plannedStage.stage(), 0, 0));
    }

    private long waitMs(RequestPlan plan, PlannedStage plannedStage) {
        GroupState group = groups.scheduler(plannedStage.group()).state();
        return WaitPrediction.waitMs(group, profile(plan, plannedStage.stage(), 0, 0));
    }

    private static CallProfile profile(
            RequestPlan plan, Stage stage, long laterMs, long laterWaitMs) {
        long size = size(stage, plan.input(), plan.maxTokens());
        return new CallProfile(
                plan.organisation().name(),
                plan.organisation().weight(),
                stage.name(),
                stage.idempotent(),
                size > stage.longOverTokens() ? SizeClass.LONG : SizeClass.SHORT,
                size,
                stage.expectedMs(),
                laterMs,
                laterWaitMs,
                plan.deadline(),
                affinityKey(plan.input()),
                HashSet.empty());
    }

    /**
     * Returns the size of a call in tokens: the number of tokens to generate for a streaming stage,
     * or the estimated number of tokens of the input for any other stage.
     */
    static long size(Stage stage, String input, int maxTokens) {
        return stage.streams() ? maxTokens : Math.max(1, input.length() / CHARACTERS_PER_TOKEN);
    }

    /** Returns the affinity key of a call: a hash of the first characters of the input. */
    static long affinityKey(String input) {
        String prefix = input.substring(0, Math.min(AFFINITY_PREFIX_CHARACTERS, input.length()));
        return Hashing.komihash5_0().hashCharsToLong(prefix);
    }
}
