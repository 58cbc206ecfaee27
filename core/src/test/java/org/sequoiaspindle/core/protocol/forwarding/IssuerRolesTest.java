package org.sequoiaspindle.core.protocol.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.coordination.forwarding.permit.ClockReading;
import org.sequoiaspindle.core.coordination.forwarding.permit.LeaseHold;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** Guards against permits from an instance that does not hold the role of the issuer. */
final class IssuerRolesTest {

    private static final Replica REPLICA =
            new Replica(
                    new ReplicaId("e", 1), "engine", new HostPort("127.0.0.1", 1), "a", 4, false);
    private static final long VERSION = 7;

    private final List<StoreCommand> commands = new ArrayList<>();
    private final IssuerDirectory directory = new IssuerDirectory();
    private List<Replica> cold = List.of(REPLICA);
    private StoreResult claimResult = new StoreResult.Swapped(VERSION);
    private long now = 1_000;
    private long lease = 5;
    private final IssuerRoles roles =
            new IssuerRoles(
                    new IssuerRoles.Environment(
                            "one",
                            "process",
                            () -> List.of("one"),
                            () -> Optional.of(new LeaseHold(lease, clocks(), 9_000)),
                            () -> cold,
                            replica -> true,
                            replica -> OptionalLong.of(91),
                            this::clocks),
                    directory,
                    command -> {
                        commands.add(command);
                        return CompletableFuture.completedFuture(claimResult);
                    },
                    EventLog.NONE);

    @Test
    void nothingIsClaimedBeforeTheKeysAreListed() {
        roles.check();
        assertTrue(commands.isEmpty());
        check();
        assertEquals(1, commands.size());
    }

    @Test
    void replicaThatBecomesColdAgainGetsNoPermitsUntilOtherInstancesKnowIt() {
        check();
        now += 500;
        assertTrue(granted());
        cold = List.of();
        check();
        now += 500;
        assertTrue(granted());
        cold = List.of(REPLICA);
        check();
        now += IssuerRoles.COLD_AGAIN_WAIT_MS - 1;
        assertFalse(granted());
        now++;
        assertTrue(granted());
        assertFalse(granted());
    }

    @Test
    void roleEndsWithItsLeaseAndWithItsKey() {
        check();
        now += 500;
        lease++;
        assertFalse(granted());
        check();
        assertEquals(2, commands.size());
        now += 500;
        assertTrue(granted());
        directory.apply(
                new StoreChange.Removed(IssuerKeys.key(REPLICA.id().toString()), VERSION + 1));
        cold = List.of();
        check();
        now += 500;
        assertFalse(granted());
    }

    @Test
    void keyOfAClaimWithoutAResultIsNotReliedOnButDeleted() {
        claimResult = new StoreResult.Unavailable("no answer");
        check();
        StoreCommand.CompareAndSwap claim = (StoreCommand.CompareAndSwap) commands.get(0);
        directory.apply(new StoreChange.Written(claim.key(), claim.value(), VERSION));
        now += 500;
        assertFalse(granted());
        check();
        assertEquals(new StoreCommand.Delete(claim.key(), VERSION), commands.get(1));
    }

    private void check() {
        directory.replaceAll(List.of(), 0);
        roles.check();
    }

    private boolean granted() {
        return roles.issue(REPLICA.id().toString()).granted();
    }

    private ClockReading clocks() {
        return new ClockReading(now, now);
    }
}
