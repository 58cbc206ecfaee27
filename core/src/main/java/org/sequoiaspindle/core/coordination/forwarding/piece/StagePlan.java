package org.sequoiaspindle.core.coordination.forwarding.piece;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.core.state.forwarding.StageSpec;

/** Dependency graph of a request's stages, with the results completed so far. Immutable. */
public final class StagePlan {

    private final List<StageSpec> stages;
    private final RequestMetadata metadata;
    private final Set<Integer> startedStages;
    private final Map<Integer, List<String>> handlesByStage;

    /** Creates a plan. The handles of a stage contain null for each incomplete piece. */
    private StagePlan(
            List<StageSpec> stages,
            RequestMetadata metadata,
            Set<Integer> startedStages,
            Map<Integer, List<String>> handlesByStage) {
        this.stages = stages;
        this.metadata = metadata;
        this.startedStages = Set.copyOf(startedStages);
        this.handlesByStage = Map.copyOf(handlesByStage);
    }

    /**
     * Returns the plan of a request before any stage has started. Stages without pieces are
     * omitted.
     */
    public static StagePlan of(Route route, RequestMetadata metadata) {
        List<StageSpec> stagesWithPieces =
                route.stages().stream()
                        .filter(stage -> metadata.pieceCount(stage.number()) > 0)
                        .toList();
        return new StagePlan(stagesWithPieces, metadata, Set.of(), Map.of());
    }

    /** Returns the stages that have not started and whose dependencies are complete. */
    public List<StageSpec> startableStages() {
        return stages.stream()
                .filter(stage -> !startedStages.contains(stage.number()))
                .filter(stage -> presentDependencies(stage).allMatch(this::isComplete))
                .toList();
    }

    /** Returns the plan in which a stage has started. */
    public StagePlan withStarted(int stage) {
        Set<Integer> next = new HashSet<>(startedStages);
        next.add(stage);
        return new StagePlan(stages, metadata, next, handlesByStage);
    }

    /** Returns the plan with the result of one more piece. */
    public StagePlan withResult(int stage, int piece, String handle) {
        List<String> next =
                new ArrayList<>(
                        handlesByStage.getOrDefault(
                                stage, nullHandles(metadata.pieceCount(stage))));
        next.set(piece, handle);
        Map<Integer, List<String>> all = new HashMap<>(handlesByStage);
        all.put(stage, next);
        return new StagePlan(stages, metadata, startedStages, all);
    }

    public boolean isComplete() {
        return stages.stream().map(StageSpec::number).allMatch(this::isComplete);
    }

    /** Returns whether all pieces of a stage are completed. */
    public boolean isComplete(int stage) {
        List<String> completed = handlesByStage.get(stage);
        return completed != null && !completed.contains(null);
    }

    /**
     * Returns the inputs of each piece of a stage: all results of the stages that the stage depends
     * on.
     */
    public List<String> inputHandles(StageSpec stage) {
        // A piece keeps an unmodifiable copy as it is, so all pieces share this one.
        return List.copyOf(
                presentDependencies(stage)
                        .flatMap(number -> handlesByStage.get(number).stream())
                        .toList());
    }

    /**
     * Returns the inputs of the request itself: the results of the stages that no other stage
     * depends on.
     */
    public List<String> outputHandles() {
        return finalStages().flatMap(stage -> handlesByStage.get(stage.number()).stream()).toList();
    }

    /**
     * Returns the approximate size of the outputs in each data centre.
     *
     * @param countByDataCentre counts the given results by the data centre that stores them
     */
    public Map<String, Long> outputBytes(
            Function<List<String>, Map<String, Long>> countByDataCentre) {
        Map<String, Long> bytes = new HashMap<>();
        finalStages()
                .forEach(
                        stage ->
                                countByDataCentre
                                        .apply(handlesByStage.get(stage.number()))
                                        .forEach(
                                                (dataCentre, results) ->
                                                        bytes.merge(
                                                                dataCentre,
                                                                results * stage.resultBytes(),
                                                                Long::sum)));
        return bytes;
    }

    private Stream<StageSpec> finalStages() {
        Set<Integer> dependencies = new HashSet<>();
        stages.forEach(stage -> dependencies.addAll(stage.dependsOn()));
        return stages.stream()
                .filter(stage -> !dependencies.contains(stage.number()))
                .filter(stage -> handlesByStage.containsKey(stage.number()));
    }

    /** Returns the handles of all results completed so far. */
    public List<String> allHandles() {
        return handlesByStage.values().stream()
                .flatMap(List::stream)
                .filter(handle -> handle != null)
                .toList();
    }

    /** Returns the inputs of a completed stage that no incomplete stage needs any more. */
    public List<String> handlesUnusedAfter(int completedStage) {
        List<String> unusedHandles = new ArrayList<>();
        for (StageSpec stage : stages) {
            boolean feedsCompleted =
                    stages.stream()
                            .filter(other -> other.number() == completedStage)
                            .anyMatch(other -> other.dependsOn().contains(stage.number()));
            boolean stillNeeded =
                    stages.stream()
                            .filter(other -> other.dependsOn().contains(stage.number()))
                            .anyMatch(other -> !isComplete(other.number()));
            if (feedsCompleted && !stillNeeded) {
                unusedHandles.addAll(handlesByStage.get(stage.number()));
            }
        }
        return unusedHandles;
    }

    /**
     * Returns the time of the critical path, which is the longest chain of dependent stages, in
     * milliseconds.
     *
     * @param millis time of one stage
     */
    public long criticalPathMillis(ToLongFunction<StageSpec> millis) {
        return stages.stream()
                .mapToLong(
                        stage ->
                                millis.applyAsLong(stage)
                                        + criticalPathMillisAfter(stage.number(), millis))
                .max()
                .orElse(0);
    }

    /**
     * Returns the time of the longest chain of stages that depend on a stage, in milliseconds.
     *
     * @param millis time of one stage
     */
    public long criticalPathMillisAfter(int stage, ToLongFunction<StageSpec> millis) {
        long longest = 0;
        for (StageSpec other : stages) {
            if (other.dependsOn().contains(stage)) {
                long chain =
                        millis.applyAsLong(other) + criticalPathMillisAfter(other.number(), millis);
                longest = Math.max(longest, chain);
            }
        }
        return longest;
    }

    private Stream<Integer> presentDependencies(StageSpec stage) {
        return stage.dependsOn().stream()
                .filter(number -> stages.stream().anyMatch(other -> other.number() == number));
    }

    private static List<String> nullHandles(int size) {
        List<String> handles = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            handles.add(null);
        }
        return handles;
    }
}
