package org.sequoiaspindle.core.coordination.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.sequoiaspindle.core.state.forwarding.RequestFacts;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.core.state.forwarding.StageSpec;

/** Progress of a request through its stages. Immutable. */
public final class StagePlan {

    private final List<StageSpec> stages;
    private final RequestFacts facts;
    private final Set<Integer> begun;
    private final Map<Integer, List<String>> handles;

    /** Handles of a stage hold null for a piece that is not made yet. */
    private StagePlan(
            List<StageSpec> stages,
            RequestFacts facts,
            Set<Integer> begun,
            Map<Integer, List<String>> handles) {
        this.stages = stages;
        this.facts = facts;
        this.begun = Set.copyOf(begun);
        this.handles = Map.copyOf(handles);
    }

    /** Plan of a request before any stage has begun; stages without pieces are left out. */
    public static StagePlan of(Route route, RequestFacts facts) {
        List<StageSpec> present =
                route.stages().stream().filter(stage -> facts.pieces(stage.number()) > 0).toList();
        return new StagePlan(present, facts, Set.of(), Map.of());
    }

    /** Stages whose inputs are complete and that have not begun. */
    public List<StageSpec> ready() {
        return stages.stream()
                .filter(stage -> !begun.contains(stage.number()))
                .filter(stage -> presentBefore(stage).allMatch(this::isComplete))
                .toList();
    }

    /** Plan in which a stage has begun. */
    public StagePlan begin(int stage) {
        Set<Integer> next = new HashSet<>(begun);
        next.add(stage);
        return new StagePlan(stages, facts, next, handles);
    }

    /** Plan with the result of one piece. */
    public StagePlan made(int stage, int piece, String handle) {
        List<String> next =
                new ArrayList<>(handles.getOrDefault(stage, emptySlots(facts.pieces(stage))));
        next.set(piece, handle);
        Map<Integer, List<String>> all = new HashMap<>(handles);
        all.put(stage, next);
        return new StagePlan(stages, facts, begun, all);
    }

    public boolean isComplete() {
        return stages.stream().map(StageSpec::number).allMatch(this::isComplete);
    }

    /** Whether all pieces of a stage are made. */
    public boolean isComplete(int stage) {
        List<String> made = handles.get(stage);
        return made != null && !made.contains(null);
    }

    /** Inputs of the pieces of a stage: all results of the stages that it follows. */
    public List<String> inputs(StageSpec stage) {
        return presentBefore(stage).flatMap(number -> handles.get(number).stream()).toList();
    }

    /** Results that the request itself takes: those of the stages that no other stage follows. */
    public List<String> outputs() {
        return lastStages().flatMap(stage -> handles.get(stage.number()).stream()).toList();
    }

    /**
     * Approximate size of the outputs by data centre.
     *
     * @param count number of results by the data centre that holds them
     */
    public Map<String, Long> outputBytes(Function<List<String>, Map<String, Long>> count) {
        Map<String, Long> bytes = new HashMap<>();
        lastStages()
                .forEach(
                        stage ->
                                count.apply(handles.get(stage.number()))
                                        .forEach(
                                                (dataCentre, results) ->
                                                        bytes.merge(
                                                                dataCentre,
                                                                results * stage.resultBytes(),
                                                                Long::sum)));
        return bytes;
    }

    private Stream<StageSpec> lastStages() {
        Set<Integer> followed = new HashSet<>();
        stages.forEach(stage -> followed.addAll(stage.after()));
        return stages.stream()
                .filter(stage -> !followed.contains(stage.number()))
                .filter(stage -> handles.containsKey(stage.number()));
    }

    /** Every result that exists. */
    public List<String> results() {
        return handles.values().stream()
                .flatMap(List::stream)
                .filter(handle -> handle != null)
                .toList();
    }

    /** Results of a stage that no unfinished stage needs any more and that are not outputs. */
    public List<String> spentBy(int completed) {
        List<String> spent = new ArrayList<>();
        for (StageSpec stage : stages) {
            boolean feedsCompleted =
                    stages.stream()
                            .filter(other -> other.number() == completed)
                            .anyMatch(other -> other.after().contains(stage.number()));
            boolean stillNeeded =
                    stages.stream()
                            .filter(other -> other.after().contains(stage.number()))
                            .anyMatch(other -> !isComplete(other.number()));
            if (feedsCompleted && !stillNeeded) {
                spent.addAll(handles.get(stage.number()));
            }
        }
        return spent;
    }

    /**
     * Time of the longest chain of stages, in milliseconds.
     *
     * @param millis time of one stage
     */
    public long millis(ToLongFunction<StageSpec> millis) {
        return stages.stream()
                .mapToLong(stage -> millis.applyAsLong(stage) + millisAfter(stage.number(), millis))
                .max()
                .orElse(0);
    }

    /**
     * Time of the longest chain of stages that follow a stage, in milliseconds.
     *
     * @param millis time of one stage
     */
    public long millisAfter(int stage, ToLongFunction<StageSpec> millis) {
        long longest = 0;
        for (StageSpec other : stages) {
            if (other.after().contains(stage)) {
                long chain = millis.applyAsLong(other) + millisAfter(other.number(), millis);
                longest = Math.max(longest, chain);
            }
        }
        return longest;
    }

    private Stream<Integer> presentBefore(StageSpec stage) {
        return stage.after().stream()
                .filter(number -> stages.stream().anyMatch(other -> other.number() == number));
    }

    private static List<String> emptySlots(int count) {
        List<String> slots = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            slots.add(null);
        }
        return slots;
    }
}
