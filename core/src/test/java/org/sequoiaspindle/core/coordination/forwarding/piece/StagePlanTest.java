package org.sequoiaspindle.core.coordination.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.replica.ForwardingSamples;
import org.sequoiaspindle.core.state.forwarding.RequestKind;
import org.sequoiaspindle.core.state.forwarding.StageSpec;

/** Guards against pieces that start too early or get the wrong inputs. */
final class StagePlanTest {

    private static final List<StageSpec> STAGES =
            List.of(
                    new StageSpec(0, "encode", List.of(), 100),
                    new StageSpec(1, "retrieve", List.of(), 100),
                    new StageSpec(2, "rank", List.of(1), 100));

    @Test
    void stageIsStartableOnlyWhenAllPiecesOfTheDependenciesAreComplete() {
        StagePlan plan = plan(1, 2, 1).withStarted(0).withStarted(1).withResult(1, 1, "b");
        assertTrue(plan.startableStages().isEmpty());
        assertEquals(2, plan.withResult(1, 0, "a").startableStages().get(0).number());
    }

    @Test
    void inputsAreTheResultsOfTheDependenciesInOrder() {
        StagePlan plan = plan(0, 2, 1).withStarted(1).withResult(1, 1, "b").withResult(1, 0, "a");
        assertEquals(List.of("a", "b"), plan.inputHandles(STAGES.get(2)));
    }

    @Test
    void outputsAreTheResultsThatNoStageReads() {
        StagePlan plan =
                plan(1, 1, 1)
                        .withStarted(0)
                        .withStarted(1)
                        .withResult(0, 0, "e")
                        .withResult(1, 0, "r")
                        .withResult(2, 0, "k");
        assertTrue(plan.isComplete());
        assertEquals(List.of("e", "k"), plan.outputHandles().stream().sorted().toList());
    }

    @Test
    void inputsOfACompletedStageAreUnused() {
        StagePlan plan =
                plan(0, 1, 1)
                        .withStarted(1)
                        .withResult(1, 0, "r")
                        .withStarted(2)
                        .withResult(2, 0, "k");
        assertEquals(List.of("r"), plan.handlesUnusedAfter(2));
    }

    /**
     * Guards against wrong due times. They occur if later stages are ignored or if the times of
     * parallel stages are added up.
     */
    @Test
    void criticalPathIsTheLongestChainOfStages() {
        StagePlan plan = plan(1, 1, 1);
        assertEquals(50, plan.criticalPathMillis(stage -> stage.number() == 0 ? 50 : 20));
        assertEquals(40, plan.criticalPathMillis(stage -> 20));
        assertEquals(20, plan.criticalPathMillisAfter(1, stage -> 20));
        assertEquals(20, plan(1, 1, 0).criticalPathMillis(stage -> 20));
    }

    @Test
    void stageWithoutPiecesIsOmitted() {
        assertTrue(plan(0, 0, 0).isComplete());
    }

    private static StagePlan plan(int first, int second, int third) {
        return StagePlan.of(
                ForwardingSamples.route("/", RequestKind.STREAM, 1, STAGES),
                ForwardingSamples.request("/", Optional.empty(), List.of(first, second, third)));
    }
}
