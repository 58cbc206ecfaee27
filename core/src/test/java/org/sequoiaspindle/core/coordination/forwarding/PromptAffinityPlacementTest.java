package org.sequoiaspindle.core.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaSelector.Candidate;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.PromptPart;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** Guards against repeated prompt processing, needless transfers and overloaded replicas. */
final class PromptAffinityPlacementTest {

    private static final List<PromptPart> PROMPT = prompt("new");

    /** Guards against affinity by the last prompt part, which no other request shares. */
    @Test
    void requestsWithTheSameSharedPartsGoToTheSameReplica() {
        Replica first = select(fleet(0, 0, 0, 0, 0, 0, 0, 0), Map.of());
        for (int request = 0; request < 20; request++) {
            Replica chosen =
                    PromptAffinityPlacement.select(
                                    fleet(0, 0, 0, 0, 0, 0, 0, 0),
                                    prompt("new " + request),
                                    Map.of(),
                                    Set.of())
                            .orElseThrow();
            assertEquals(first.id(), chosen.id());
        }
    }

    @Test
    void requestsOfASessionGoToTheSameReplicaWhileItsLoadIsBelowTheLimit() {
        Replica first = select(fleet(0, 0, 0, 0), Map.of());
        assertEquals(first.id(), select(fleet(3, 2, 1, 3), Map.of()).id());
    }

    @Test
    void replicaFarAboveTheMeanLoadIsPassedOver() {
        Replica first = select(fleet(0, 0, 0, 0), Map.of());
        List<Candidate> crowded = new ArrayList<>();
        for (Candidate candidate : fleet(1, 1, 1, 1)) {
            boolean chosen = candidate.replica().id().equals(first.id());
            crowded.add(new Candidate(candidate.replica(), chosen ? 40 : 1, false, true));
        }
        assertNotEquals(first.id(), select(crowded, Map.of()).id());
    }

    @Test
    void requestGoesToTheDataCentreThatStoresItsLargeInputs() {
        assertEquals("b", select(fleet(0, 0, 0, 0), Map.of("b", 40_000_000L)).dataCentre());
        assertEquals("a", select(fleet(0, 0, 0, 0), Map.of("a", 40_000_000L)).dataCentre());
    }

    @Test
    void replicaThatWasTriedIsNotChosenAgain() {
        Replica first = select(fleet(0, 0, 0, 0), Map.of());
        Replica next =
                PromptAffinityPlacement.select(
                                fleet(0, 0, 0, 0), PROMPT, Map.of(), Set.of(first.id()))
                        .orElseThrow();
        assertNotEquals(first.id(), next.id());
    }

    @Test
    void ejectedReplicaIsChosenOnlyIfThereIsNoOther() {
        Replica only = replica("only", "a");
        List<Candidate> ejected = List.of(new Candidate(only, 0, true, true));
        assertTrue(PromptAffinityPlacement.select(ejected, PROMPT, Map.of(), Set.of()).isPresent());
        List<Candidate> both =
                List.of(ejected.get(0), new Candidate(replica("other", "a"), 9, false, false));
        assertEquals("other", select(both, Map.of()).id().name());
    }

    private static List<PromptPart> prompt(String last) {
        return List.of(
                new PromptPart("common", 2_000),
                new PromptPart("file", 1_000),
                new PromptPart(last, 500));
    }

    private static Replica select(List<Candidate> candidates, Map<String, Long> results) {
        return PromptAffinityPlacement.select(candidates, PROMPT, results, Set.of()).orElseThrow();
    }

    /** Replicas with the given loads, alternating between two data centres. */
    private static List<Candidate> fleet(double... loads) {
        List<Candidate> fleet = new ArrayList<>();
        for (int i = 0; i < loads.length; i++) {
            Replica replica = replica("r" + i, i % 2 == 0 ? "a" : "b");
            fleet.add(new Candidate(replica, loads[i], false, i % 2 == 0));
        }
        return fleet;
    }

    private static Replica replica(String name, String dataCentre) {
        return new Replica(
                new ReplicaId(name, 1), "pool", new HostPort("10.0.0.1", 80), dataCentre, 8, false);
    }
}
