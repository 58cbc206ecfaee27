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
import org.sequoiaspindle.core.coordination.policy.Policies;
import org.sequoiaspindle.core.coordination.routing.CallReport.Kind;
import org.sequoiaspindle.core.state.Deadline;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.SizeClass;

/** Guards the transitions against lost and doubled tickets, overload and starvation. */
final class GroupTransitionsTest {

    private static final String SEED = "20261204";
    private static final long FAR = 1_000_000;

    /** Drives a group with random events and keeps a naive account beside it. */
    private static final class Drive {

        private final GroupTransitions transitions;
        private final Random random;
        private final Map<Long, Placement> decided = new HashMap<>();
        private final Map<Long, String> running = new HashMap<>();
        private GroupState group;
        private long now = 1_000;
        private long submitted;

        Drive(Policy policy, long seed, int endpoints, int slots) {
            transitions = new GroupTransitions(policy);
            random = new Random(seed);
            Vector<OpenEndpoint> open =
                    Vector.range(0, endpoints).map(index -> open("e" + index, slots));
            group = transitions.reconfigure(GroupState.empty(), open, now, random).state();
        }

        long submit(CallProfile profile) {
            long id = ++submitted;
            take(transitions.submit(group, id, profile, now, random));
            return id;
        }

        void complete(long ticket, Kind kind, long serviceMs) {
            String endpoint = running.remove(ticket);
            CallReport report = new CallReport(kind, serviceMs, 10, Option.none());
            take(transitions.complete(group, endpoint, ticket, "s", report, now, random));
        }

        void pass(long millis) {
            now += millis;
            take(transitions.advance(group, now, random));
        }

        private void take(Step step) {
            group = step.state();
            for (Grant grant : step.grants()) {
                assertEquals(
                        null,
                        decided.put(grant.ticket(), grant.placement()),
                        "a ticket is decided once");
                if (grant.placement() instanceof Placement.Assigned assigned) {
                    running.put(grant.ticket(), assigned.endpoint());
                }
            }
        }

        void step() {
            int event = random.nextInt(10);
            if (event < 5) {
                SizeClass sizeClass = random.nextInt(4) == 0 ? SizeClass.LONG : SizeClass.SHORT;
                submit(profile("org" + random.nextInt(3), sizeClass, now + random.nextInt(3_000)));
            } else if (event < 9 && !running.isEmpty()) {
                List<Long> tickets = new ArrayList<>(running.keySet());
                Kind[] kinds = Kind.values();
                complete(
                        tickets.get(random.nextInt(tickets.size())),
                        random.nextInt(3) == 0
                                ? kinds[random.nextInt(kinds.length)]
                                : Kind.COMPLETED,
                        random.nextInt(500));
            } else {
                pass(random.nextInt(400));
            }
        }
    }

    @Property(seed = SEED, tries = 200)
    void everyTicketIsDecidedOnceAndAccountsAgree(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int endpoints) {
        for (Policy policy : List.of(Policies.naive(), Policies.chosen())) {
            Drive drive = new Drive(policy, seed, endpoints, 4);
            for (int step = 0; step < 150; step++) {
                drive.step();
                int inFlight =
                        drive.group.endpoints().values().map(e -> e.inFlight()).sum().intValue();
                assertEquals(drive.running.size(), inFlight);
                assertEquals(addedUp(drive.group), rounded(drive.group.totals()));
                assertEquals(drive.submitted, drive.decided.size() + drive.group.waiting());
            }
            drive.pass(FAR);
            assertEquals(drive.submitted, drive.decided.size(), "no ticket waits for ever");
        }
    }

    @Property(seed = SEED, tries = 200)
    void chosenPolicyNeverExceedsTheSlotsOfAnEndpoint(@ForAll long seed) {
        Drive drive = new Drive(Policies.chosen(), seed, 4, 3);
        for (int step = 0; step < 150; step++) {
            drive.step();
            assertTrue(drive.group.endpoints().values().forAll(e -> e.inFlight() <= 3));
        }
    }

    @Property(seed = SEED, tries = 100)
    void someEndpointStaysUsableWhateverFails(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int endpoints) {
        Drive drive = new Drive(Policies.chosen(), seed, endpoints, 4);
        for (int call = 0; call < 60; call++) {
            long ticket = drive.submit(profile("org", SizeClass.SHORT, drive.now + FAR));
            assertTrue(
                    drive.decided.get(ticket) instanceof Placement.Assigned,
                    "an idle group places every call");
            Kind[] bad = {Kind.NOT_SENT, Kind.UNKNOWN, Kind.FAILED, Kind.REFUSED};
            drive.complete(ticket, bad[drive.random.nextInt(bad.length)], 10);
        }
    }

    @Test
    void longCallsLeaveSlotsForShortOnes() {
        Drive drive = new Drive(Policies.chosen(), 1, 2, 4);
        drive.submit(profile("org", SizeClass.SHORT, FAR));
        for (int call = 0; call < 20; call++) {
            drive.submit(profile("org", SizeClass.LONG, FAR));
        }
        long shortCall = drive.submit(profile("other", SizeClass.SHORT, FAR));
        assertTrue(drive.decided.get(shortCall) instanceof Placement.Assigned);
        assertEquals(4, drive.group.inFlight(SizeClass.LONG), "half of the eight slots");
    }

    @Test
    void largeOrganisationDoesNotStarveASmallOne() {
        Drive drive = new Drive(Policies.chosen(), 1, 1, 1);
        for (int call = 0; call < 50; call++) {
            drive.submit(profile("large", SizeClass.SHORT, FAR));
        }
        long small = drive.submit(profile("small", SizeClass.SHORT, FAR));
        for (int turn = 0; turn < 2; turn++) {
            drive.complete(drive.running.keySet().iterator().next(), Kind.COMPLETED, 100);
        }
        assertTrue(drive.decided.get(small) instanceof Placement.Assigned, "within two turns");
    }

    @Test
    void callThatCannotMeetItsDeadlineIsRefusedAtOnce() {
        Drive drive = new Drive(Policies.chosen(), 1, 1, 1);
        for (int call = 0; call < 20; call++) {
            drive.submit(profile("org", SizeClass.SHORT, FAR));
        }
        long late = drive.submit(profile("org", SizeClass.SHORT, drive.now + 300));
        assertEquals(
                new Placement.Refused(Placement.RefusalCause.NO_TIME), drive.decided.get(late));
    }

    /** The sums worked out anew. */
    private static Totals addedUp(GroupState group) {
        Totals ofEndpoints = group.endpoints().values().foldLeft(Totals.NONE, Totals::plus);
        Totals withQueues =
                group.queues()
                        .values()
                        .flatMap(
                                queue ->
                                        queue.shortTickets()
                                                .toVector()
                                                .appendAll(queue.longTickets()))
                        .foldLeft(ofEndpoints, (sum, ticket) -> sum.withWaiting(ticket, 1));
        return rounded(
                group.endpoints()
                        .values()
                        .flatMap(endpoint -> endpoint.running().values())
                        .foldLeft(withQueues, (sum, call) -> sum.withRunning(call.expectedMs())));
    }

    /** Sums of fractions, without the last digits that depend on the order of addition. */
    private static Totals rounded(Totals totals) {
        return new Totals(
                totals.inFlight(),
                Math.round(totals.limit() * 1e6) / 1e6,
                Math.round(totals.capacity() * 1e6) / 1e6,
                totals.runningMs(),
                totals.waitingShort(),
                totals.waitingLong(),
                totals.queuedMs());
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

    private static OpenEndpoint open(String name, int slots) {
        Endpoint endpoint = new Endpoint(name, "g", "dc", "10.0.0.1:1", slots, false);
        return new OpenEndpoint(endpoint, false, slots);
    }
}
