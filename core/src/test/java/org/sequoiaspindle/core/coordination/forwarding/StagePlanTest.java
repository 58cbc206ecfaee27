package org.sequoiaspindle.core.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.RequestKind;
import org.sequoiaspindle.core.state.forwarding.StageSpec;

/** Guards against pieces that begin too early or get the wrong inputs. */
final class StagePlanTest {

    private static final List<StageSpec> CHAIN =
            List.of(
                    new StageSpec(0, "encode", List.of(), 100),
                    new StageSpec(1, "retrieve", List.of(), 100),
                    new StageSpec(2, "rank", List.of(1), 100));

    @Test
    void stageBeginsOnlyWhenAllPiecesBeforeItAreMade() {
        StagePlan plan = plan(1, 2, 1).begin(0).begin(1).made(1, 1, "b");
        assertTrue(plan.ready().isEmpty());
        assertEquals(2, plan.made(1, 0, "a").ready().get(0).number());
    }

    @Test
    void inputsAreAllResultsOfTheStagesBeforeInOrder() {
        StagePlan plan = plan(0, 2, 1).begin(1).made(1, 1, "b").made(1, 0, "a");
        assertEquals(List.of("a", "b"), plan.inputs(CHAIN.get(2)));
    }

    @Test
    void outputsAreTheResultsThatNoStageFollows() {
        StagePlan plan =
                plan(1, 1, 1).begin(0).begin(1).made(0, 0, "e").made(1, 0, "r").made(2, 0, "k");
        assertTrue(plan.isComplete());
        assertEquals(List.of("e", "k"), plan.outputs().stream().sorted().toList());
    }

    @Test
    void resultsThatFedACompletedStageAreSpent() {
        StagePlan plan = plan(0, 1, 1).begin(1).made(1, 0, "r").begin(2).made(2, 0, "k");
        assertEquals(List.of("r"), plan.spentBy(2));
    }

    /** Guards against due times that ignore later stages, or count stages that run at once. */
    @Test
    void timeOfThePlanIsThatOfItsLongestChain() {
        StagePlan plan = plan(1, 1, 1);
        assertEquals(50, plan.millis(stage -> stage.number() == 0 ? 50 : 20));
        assertEquals(40, plan.millis(stage -> 20));
        assertEquals(20, plan.millisAfter(1, stage -> 20));
        assertEquals(20, plan(1, 1, 0).millis(stage -> 20));
    }

    @Test
    void stageWithoutPiecesIsLeftOut() {
        assertTrue(plan(0, 0, 0).isComplete());
    }

    private static StagePlan plan(int first, int second, int third) {
        return StagePlan.of(
                Samples.route("/", RequestKind.STREAM, 1, CHAIN),
                Samples.request("/", Optional.empty(), List.of(first, second, third)));
    }
}
