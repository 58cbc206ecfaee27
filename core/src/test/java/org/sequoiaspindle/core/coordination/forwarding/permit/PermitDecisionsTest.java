package org.sequoiaspindle.core.coordination.forwarding.permit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.replica.SendTerms;
import org.sequoiaspindle.core.state.forwarding.ColdEndpoints;
import org.sequoiaspindle.core.state.forwarding.ColdSpec;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** Guards the single decisions on cold replicas against views that are wrong or late. */
final class PermitDecisionsTest {

    private static final ColdSpec SPEC = new ColdSpec(3_000, 11);
    private static final ClockReading START = new ClockReading(10_000, 500_000);

    @Test
    void permitsAreIssuedAtTheToleratedRateAndMoreSlowlyWhereTheBoundIsClose() {
        assertEquals(91, new IssueRate(1.5, 5).spacingMillis(SPEC).orElseThrow());
        assertFalse(new IssueRate(1.5, 5).isLowered(SPEC));
        assertTrue(new IssueRate(1, 0).isLowered(SPEC));
        assertTrue(new IssueRate(0.1, 0).spacingMillis(SPEC).isEmpty());
    }

    @Test
    void permitsUsableInOneSecondStayBelowTheBoundForAllConfigurations() {
        for (int perSecond = 1; perSecond <= 200; perSecond++) {
            for (double slack = 0; slack <= 10; slack++) {
                ColdSpec spec = new ColdSpec(1_000, perSecond);
                IssueRate rate = new IssueRate(1.1, slack);
                rate.spacingMillis(spec)
                        .ifPresent(spacing -> assertTrue(1_500 / spacing + 2 <= rate.bound(spec)));
            }
        }
    }

    @Test
    void leaseCountsNoMoreOnceItMayHaveExpiredOrTheMachineWasSuspended() {
        LeaseHold hold = new LeaseHold(7, START, 9_000);
        assertTrue(hold.isCertain(after(8_500, 8_500)));
        assertFalse(hold.isCertain(after(8_700, 8_700)));
        assertFalse(hold.isCertain(after(1_000, 5_000)));
        assertFalse(hold.isCertain(after(5_000, 1_000)));
    }

    @Test
    void permitCountsFromTheQuestionAndNotAfterASuspension() {
        SendPermit permit = new SendPermit(new ReplicaId("e", 1), START);
        assertTrue(permit.isUsable(after(499, 499)));
        assertFalse(permit.isUsable(after(500, 500)));
        assertFalse(permit.isUsable(after(10, 200)));
    }

    @Test
    void newIssuerWaitsUntilPermitsOfItsPredecessorHaveExpired() {
        LeaseHold hold = new LeaseHold(7, START, 9_000);
        IssuerRole role = IssuerRole.claimed(replica(0), "c", 7);
        assertFalse(role.mayIssue(hold, after(1_000, 1_000)));
        IssuerRole confirmed = role.confirmed(3, 91, START.monotonicMillis());
        assertFalse(confirmed.mayIssue(hold, after(499, 499)));
        assertTrue(confirmed.mayIssue(hold, after(500, 500)));
        assertFalse(confirmed.mayIssue(new LeaseHold(8, START, 9_000), after(500, 500)));
    }

    @Test
    void oneInstanceClaimsAtOnceAndEachOtherOneLater() {
        List<String> names = IntStream.range(0, 87).mapToObj(i -> "front-" + i).toList();
        for (int step = 0; step < names.size(); step++) {
            long unclaimed = step * IssuerElection.STEP_MS;
            assertEquals(
                    step + 1,
                    names.stream()
                            .filter(n -> IssuerElection.shouldClaim(n, names, "e", unclaimed))
                            .count());
        }
    }

    @Test
    void coldTimeCountsFromTheReadAndIsOnlyEverMovedLater() {
        Replica cold = replica(5_000);
        ColdEndpoints read = ColdEndpoints.EMPTY.withRegistration(cold, 10, 1_000);
        assertEquals(6_000, read.coldUntil(cold, SPEC));
        assertEquals(6_000, read.withRegistration(cold, 10, 9_000).coldUntil(cold, SPEC));
        assertEquals(6_000, read.withRegistration(replica(0), 11, 1_500).coldUntil(cold, SPEC));
        assertEquals(14_000, read.withRegistration(cold, 11, 9_000).coldUntil(cold, SPEC));
        assertEquals(6_000, read.withStatement(cold.id(), 100, 2_000).coldUntil(cold, SPEC));
        assertEquals(7_000, read.withStatement(cold.id(), 5_000, 2_000).coldUntil(cold, SPEC));
    }

    @Test
    void replicaIsColdUntilItIsReadAndWhenItsDataCentreIsRestored() {
        Replica replica = replica(0);
        ColdEndpoints read = ColdEndpoints.EMPTY.withRegistration(replica, 10, 1_000);
        ColdEndpoints restored = read.withRestored("a", 50_000);
        assertEquals(Long.MAX_VALUE, ColdEndpoints.EMPTY.coldUntil(replica, SPEC));
        assertTrue(read.coldUntil(replica, SPEC) <= 1_000);
        assertEquals(53_000, restored.coldUntil(replica, SPEC));
        assertTrue(read.withRestored("b", 50_000).coldUntil(replica, SPEC) <= 1_000);
        ColdEndpointRule rule = new ColdEndpointRule(r -> restored.coldUntil(r, SPEC));
        assertTrue(rule.termsFor(replica, 52_999).needsPermit());
        assertEquals(SendTerms.UNRESTRICTED, rule.termsFor(replica, 53_000));
    }

    private static ClockReading after(long monotonic, long wall) {
        return new ClockReading(START.monotonicMillis() + monotonic, START.wallMillis() + wall);
    }

    private static Replica replica(long coldMillis) {
        return new Replica(
                new ReplicaId("e", 1),
                "engine",
                new HostPort("127.0.0.1", 1),
                "a",
                64,
                false,
                coldMillis);
    }
}
