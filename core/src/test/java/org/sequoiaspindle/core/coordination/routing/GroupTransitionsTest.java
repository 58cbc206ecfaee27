package org.sequoiaspindle.core.coordination.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.policy.RoutingPolicies;
import org.sequoiaspindle.core.coordination.routing.CallReport.ResultKind;
import org.sequoiaspindle.core.state.Deadline;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Checks that no call is lost or decided twice, that endpoints are not overloaded and that no
 * organisation starves.
 */
final class GroupTransitionsTest {

    private static final String SEED = "20261204";
    private static final long DISTANT_DEADLINE_MS = 1_000_000;

    /** Applies random events to a group and records the expected calls independently. */
    private static final class GroupDriver {

        private final GroupTransitions transitions;
        private final Random random;
        private final Map<Long, RoutingDecision> decisions = new HashMap<>();
        private final Map<Long, String> runningEndpoints = new HashMap<>();
        private GroupState group;
        private long now = 1_000;
        private long submittedCount;

        GroupDriver(RoutingPolicy policy, long seed, int endpoints, int slots) {
            transitions = new GroupTransitions(policy);
            random = new Random(seed);
            Vector<ConfiguredEndpoint> openEndpoints =
                    Vector.range(0, endpoints).map(index -> openEndpoint("e" + index, slots));
            group = transitions.reconfigure(GroupState.empty(), openEndpoints, now, random).state();
        }

        long submit(CallProfile profile) {
            long id = ++submittedCount;
            apply(transitions.submit(group, id, profile, now, random));
            return id;
        }

        void complete(long callId, ResultKind kind, long serviceMs) {
            String endpoint = runningEndpoints.remove(callId);
            CallReport report = new CallReport(kind, serviceMs, 10, Option.none());
            apply(transitions.complete(group, endpoint, callId, "s", report, now, random));
        }

        void advance(long millis) {
            now += millis;
            apply(transitions.advance(group, now, random));
        }

        private void apply(TransitionResult result) {
            group = result.state();
            for (CallDecision decision : result.decisions()) {
                assertEquals(
                        null,
                        decisions.put(decision.callId(), decision.decision()),
                        "a call is decided once");
                if (decision.decision() instanceof RoutingDecision.Assigned assigned) {
                    runningEndpoints.put(decision.callId(), assigned.endpoint());
                }
            }
        }

        void step() {
            int event = random.nextInt(10);
            if (event < 5) {
                SizeClass sizeClass = random.nextInt(4) == 0 ? SizeClass.LONG : SizeClass.SHORT;
                submit(profile("org" + random.nextInt(3), sizeClass, now + random.nextInt(3_000)));
            } else if (event < 9 && !runningEndpoints.isEmpty()) {
                List<Long> callIds = new ArrayList<>(runningEndpoints.keySet());
                ResultKind[] kinds = ResultKind.values();
                complete(
                        callIds.get(random.nextInt(callIds.size())),
                        random.nextInt(3) == 0
                                ? kinds[random.nextInt(kinds.length)]
                                : ResultKind.COMPLETED,
                        random.nextInt(500));
            } else {
                advance(random.nextInt(400));
            }
        }
    }

    @Property(seed = SEED, tries = 200)
    void everyCallIsDecidedOnceAndTotalsMatch(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int endpoints) {
        for (RoutingPolicy policy : List.of(RoutingPolicies.naive(), RoutingPolicies.chosen())) {
            GroupDriver driver = new GroupDriver(policy, seed, endpoints, 4);
            for (int step = 0; step < 150; step++) {
                driver.step();
                int inFlight =
                        driver.group.endpoints().values().map(e -> e.inFlight()).sum().intValue();
                assertEquals(driver.runningEndpoints.size(), inFlight);
                assertEquals(recomputedTotals(driver.group), rounded(driver.group.totals()));
                assertEquals(
                        driver.submittedCount,
                        driver.decisions.size() + driver.group.pendingCount());
            }
            driver.advance(DISTANT_DEADLINE_MS);
            assertEquals(driver.submittedCount, driver.decisions.size(), "no call waits for ever");
        }
    }

    @Property(seed = SEED, tries = 200)
    void chosenPolicyNeverExceedsTheSlotsOfAnEndpoint(@ForAll long seed) {
        GroupDriver driver = new GroupDriver(RoutingPolicies.chosen(), seed, 4, 3);
        for (int step = 0; step < 150; step++) {
            driver.step();
            assertTrue(driver.group.endpoints().values().forAll(e -> e.inFlight() <= 3));
        }
    }

    @Property(seed = SEED, tries = 100)
    void atLeastOneEndpointStaysUsableWhateverFails(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int endpoints) {
        GroupDriver driver = new GroupDriver(RoutingPolicies.chosen(), seed, endpoints, 4);
        for (int call = 0; call < 60; call++) {
            long callId =
                    driver.submit(
                            profile("org", SizeClass.SHORT, driver.now + DISTANT_DEADLINE_MS));
            assertTrue(
                    driver.decisions.get(callId) instanceof RoutingDecision.Assigned,
                    "an idle group places every call");
            ResultKind[] failureKinds = {
                ResultKind.NOT_SENT, ResultKind.UNKNOWN, ResultKind.FAILED, ResultKind.REFUSED
            };
            driver.complete(callId, failureKinds[driver.random.nextInt(failureKinds.length)], 10);
        }
    }

    @Test
    void longCallsLeaveSlotsForShortCalls() {
        GroupDriver driver = new GroupDriver(RoutingPolicies.chosen(), 1, 2, 4);
        driver.submit(profile("org", SizeClass.SHORT, DISTANT_DEADLINE_MS));
        for (int call = 0; call < 20; call++) {
            driver.submit(profile("org", SizeClass.LONG, DISTANT_DEADLINE_MS));
        }
        long shortCall = driver.submit(profile("other", SizeClass.SHORT, DISTANT_DEADLINE_MS));
        assertTrue(driver.decisions.get(shortCall) instanceof RoutingDecision.Assigned);
        assertEquals(4, driver.group.inFlight(SizeClass.LONG), "half of the eight slots");
    }

    @Test
    void largeOrganisationDoesNotStarveASmallOrganisation() {
        GroupDriver driver = new GroupDriver(RoutingPolicies.chosen(), 1, 1, 1);
        for (int call = 0; call < 50; call++) {
            driver.submit(profile("large", SizeClass.SHORT, DISTANT_DEADLINE_MS));
        }
        long smallCall = driver.submit(profile("small", SizeClass.SHORT, DISTANT_DEADLINE_MS));
        for (int turn = 0; turn < 2; turn++) {
            driver.complete(
                    driver.runningEndpoints.keySet().iterator().next(), ResultKind.COMPLETED, 100);
        }
        assertTrue(
                driver.decisions.get(smallCall) instanceof RoutingDecision.Assigned,
                "within two turns");
    }

    @Test
    void callThatCannotMeetItsDeadlineIsRefusedAtOnce() {
        GroupDriver driver = new GroupDriver(RoutingPolicies.chosen(), 1, 1, 1);
        for (int call = 0; call < 20; call++) {
            driver.submit(profile("org", SizeClass.SHORT, DISTANT_DEADLINE_MS));
        }
        long lateCall = driver.submit(profile("org", SizeClass.SHORT, driver.now + 300));
        assertEquals(
                new RoutingDecision.Refused(RoutingDecision.RefusalCause.NO_TIME),
                driver.decisions.get(lateCall));
    }

    /** Recomputes the totals from the endpoints and queues. */
    private static GroupTotals recomputedTotals(GroupState group) {
        GroupTotals endpointTotals =
                group.endpoints().values().foldLeft(GroupTotals.NONE, GroupTotals::plus);
        GroupTotals withQueues =
                group.queues()
                        .values()
                        .flatMap(
                                queue -> queue.shortCalls().toVector().appendAll(queue.longCalls()))
                        .foldLeft(endpointTotals, (sum, pending) -> sum.withPending(pending, 1));
        return rounded(
                group.endpoints()
                        .values()
                        .flatMap(endpoint -> endpoint.running().values())
                        .foldLeft(withQueues, (sum, call) -> sum.plusRunningMs(call.expectedMs())));
    }

    /**
     * Rounds away the last digits of the floating-point sums, which depend on the order of
     * addition.
     */
    private static GroupTotals rounded(GroupTotals totals) {
        return new GroupTotals(
                totals.inFlight(),
                Math.round(totals.limit() * 1e6) / 1e6,
                Math.round(totals.capacity() * 1e6) / 1e6,
                totals.runningMs(),
                totals.pendingShort(),
                totals.pendingLong(),
                totals.pendingMs());
    }

    private static CallProfile profile(String organisation, SizeClass sizeClass, long deadline) {
        return new CallProfile(
                organisation,
                1,
                "s",
                true,
                sizeClass,
                10,
                100,
                0,
                0,
                new Deadline(deadline),
                7,
                HashSet.empty());
    }

    private static ConfiguredEndpoint openEndpoint(String name, int slots) {
        Endpoint endpoint = new Endpoint(name, "g", "dc", "10.0.0.1:1", slots, false);
        return new ConfiguredEndpoint(endpoint, false, slots);
    }
}
