package org.sequoiaspindle.core.coordination.forwarding.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaSelector.Candidate;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.PromptPart;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Guards against replicas that process the same prompt parts again, unnecessary transfers of
 * inputs, and overloaded replicas.
 */
final class PromptAffinityPlacementTest {

    private static final List<PromptPart> PROMPT = prompt("new");

    /**
     * Guards against an affinity key taken from the last prompt part, which no other request
     * shares.
     */
    @Test
    void requestsWithTheSameSharedPartsGoToTheSameReplica() {
        Replica first = select(candidates(0, 0, 0, 0, 0, 0, 0, 0), Map.of());
        for (int request = 0; request < 20; request++) {
            Replica selected =
                    PromptAffinityPlacement.select(
                                    candidates(0, 0, 0, 0, 0, 0, 0, 0),
                                    prompt("new " + request),
                                    Map.of(),
                                    Set.of())
                            .orElseThrow();
            assertEquals(first.id(), selected.id());
        }
    }

    @Test
    void requestsGoToTheSameReplicaWhileTheLoadOfTheReplicaIsBelowTheLimit() {
        Replica first = select(candidates(0, 0, 0, 0), Map.of());
        assertEquals(first.id(), select(candidates(3, 2, 1, 3), Map.of()).id());
    }

    @Test
    void replicaWithALoadFarAboveTheMeanIsNotSelected() {
        Replica first = select(candidates(0, 0, 0, 0), Map.of());
        List<Candidate> unevenCandidates = new ArrayList<>();
        for (Candidate candidate : candidates(1, 1, 1, 1)) {
            boolean isFirst = candidate.replica().id().equals(first.id());
            unevenCandidates.add(new Candidate(candidate.replica(), isFirst ? 40 : 1, false, true));
        }
        assertNotEquals(first.id(), select(unevenCandidates, Map.of()).id());
    }

    @Test
    void requestGoesToTheDataCentreThatStoresLargeInputs() {
        assertEquals("b", select(candidates(0, 0, 0, 0), Map.of("b", 40_000_000L)).dataCentre());
        assertEquals("a", select(candidates(0, 0, 0, 0), Map.of("a", 40_000_000L)).dataCentre());
    }

    @Test
    void excludedReplicaIsNotSelected() {
        Replica first = select(candidates(0, 0, 0, 0), Map.of());
        Replica next =
                PromptAffinityPlacement.select(
                                candidates(0, 0, 0, 0), PROMPT, Map.of(), Set.of(first.id()))
                        .orElseThrow();
        assertNotEquals(first.id(), next.id());
    }

    @Test
    void ejectedReplicaIsSelectedOnlyIfThereIsNoOther() {
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
    private static List<Candidate> candidates(double... loads) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < loads.length; i++) {
            Replica replica = replica("r" + i, i % 2 == 0 ? "a" : "b");
            candidates.add(new Candidate(replica, loads[i], false, i % 2 == 0));
        }
        return candidates;
    }

    private static Replica replica(String name, String dataCentre) {
        return new Replica(
                new ReplicaId(name, 1), "pool", new HostPort("10.0.0.1", 80), dataCentre, 8, false);
    }
}
