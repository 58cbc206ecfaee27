package org.sequoiaspindle.core.coordination.forwarding.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.replica.CrashEvidence.Crash;
import org.sequoiaspindle.core.state.forwarding.PromptPart;

/** Guards against blaming the wrong part of a prompt, or none, for crashes of replicas. */
final class CrashEvidenceTest {

    private static final long SETTLED = CrashEvidence.SETTLING_MS;

    @Test
    void partIsHarmfulAfterThreeReplicasCrashedUnderIt() {
        CrashEvidence evidence =
                evidence(crash("r1", "a", "b"), crash("r2", "a", "b"), crash("r3", "a", "b"));
        assertEquals(Optional.of("b"), evidence.harmfulPart(prompt("x", "b"), SETTLED));
    }

    @Test
    void partIsNotHarmfulAfterTwoCrashes() {
        CrashEvidence evidence = evidence(crash("r1", "b"), crash("r2", "b"));
        assertEquals(Optional.empty(), evidence.harmfulPart(prompt("b"), SETTLED));
    }

    @Test
    void severalLostRequestsInOneCrashCountOnce() {
        CrashEvidence evidence =
                evidence(crash("r1", "b"), crash("r1", "b"), crash("r1", "b"), crash("r2", "b"));
        assertEquals(Optional.empty(), evidence.harmfulPart(prompt("b"), SETTLED));
    }

    @Test
    void partsBeforeTheHarmfulPartStayAllowed() {
        CrashEvidence evidence =
                evidence(
                        crash("r1", "a", "b"),
                        crash("r2", "a", "b"),
                        crash("r3", "a", "b"),
                        crash("r4", "a", "b"));
        assertEquals(Optional.empty(), evidence.harmfulPart(prompt("a", "c"), SETTLED));
    }

    @Test
    void earlierPartIsBlamedForCrashesThatNoLaterPartExplains() {
        CrashEvidence evidence =
                evidence(crash("r1", "a", "b"), crash("r2", "a", "c"), crash("r3", "a", "d"));
        assertEquals(Optional.of("a"), evidence.harmfulPart(prompt("a", "e"), SETTLED));
        assertEquals(Optional.empty(), evidence.harmfulPart(prompt("x", "b"), SETTLED));
    }

    @Test
    void requestWithoutTheHarmfulPartIsAllowedThoughItSharesTheFirstPart() {
        List<Crash> crashes = new ArrayList<>();
        for (int replica = 0; replica < 10; replica++) {
            crashes.addAll(crash("r" + replica, "system", "group", "fatal"));
        }
        crashes.addAll(crash("r1", "system", "other"));
        CrashEvidence evidence = CrashEvidence.EMPTY.replacedBy(crashes, 0);
        assertEquals(
                Optional.empty(), evidence.harmfulPart(prompt("system", "group", "x"), SETTLED));
        assertEquals(
                Optional.of("fatal"),
                evidence.harmfulPart(prompt("another system", "fatal"), SETTLED));
    }

    @Test
    void partIsAllowedUntilTheCrashesHaveSettled() {
        CrashEvidence evidence = evidence(crash("r1", "b"), crash("r2", "b"), crash("r3", "b"));
        assertEquals(Optional.empty(), evidence.harmfulPart(prompt("b"), SETTLED - 1));
    }

    @Test
    void crashesAreForgotten() {
        CrashEvidence evidence = evidence(crash("r1", "b"), crash("r2", "b"), crash("r3", "b"));
        assertEquals(Optional.empty(), evidence.harmfulPart(prompt("b"), CrashEvidence.TTL_MS));
    }

    @Test
    void listingKeepsTheTimesOfKnownCrashes() {
        List<Crash> crashes = crash("r1", "b");
        CrashEvidence listed =
                CrashEvidence.EMPTY
                        .with(crashes.get(0), 0)
                        .replacedBy(
                                Stream.of(crashes, crash("r2", "b"), crash("r3", "b"))
                                        .flatMap(List::stream)
                                        .toList(),
                                100);
        assertEquals(Optional.empty(), listed.harmfulPart(prompt("b"), SETTLED + 99));
        assertEquals(Optional.of("b"), listed.harmfulPart(prompt("b"), SETTLED + 100));
        assertEquals(Optional.empty(), listed.harmfulPart(prompt("b"), CrashEvidence.TTL_MS));
    }

    @Test
    void withdrawnPartIsAllowed() {
        CrashEvidence evidence = evidence(crash("r1", "b"), crash("r2", "b"), crash("r3", "b"));
        assertEquals(Optional.empty(), evidence.withoutPart("b").harmfulPart(prompt("b"), SETTLED));
        assertEquals(
                Optional.empty(), evidence.without("b", "r2").harmfulPart(prompt("b"), SETTLED));
    }

    @SafeVarargs
    private static CrashEvidence evidence(List<Crash>... crashes) {
        CrashEvidence evidence = CrashEvidence.EMPTY;
        for (List<Crash> ofReplica : crashes) {
            for (Crash crash : ofReplica) {
                evidence = evidence.with(crash, 0);
            }
        }
        return evidence;
    }

    /** Returns the crash of a replica that had a request with these parts. */
    private static List<Crash> crash(String replica, String... parts) {
        List<Crash> crashes = new ArrayList<>();
        for (int position = 0; position < parts.length; position++) {
            crashes.add(new Crash(parts[position], position, replica));
        }
        return crashes;
    }

    private static List<PromptPart> prompt(String... parts) {
        return Stream.of(parts).map(part -> new PromptPart(part, 10)).toList();
    }
}
