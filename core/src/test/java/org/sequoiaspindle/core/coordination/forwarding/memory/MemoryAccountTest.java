package org.sequoiaspindle.core.coordination.forwarding.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards against crowds that take the memory of ordinary callers, and against lost bytes. */
final class MemoryAccountTest {

    private static final long BUDGET = 8L * 1024 * 1024;
    private static final long LARGE = 1_000_000;
    private static final int MAX_CONNECTIONS = 20;
    private static final MemoryAccount EMPTY =
            MemoryAccount.empty(new MemoryAccount.Limits(BUDGET, MAX_CONNECTIONS));

    /** What a generated crowd does next, at a connection and after some time. */
    private record Step(int kind, long connection, int bytes, int millis) {}

    @Provide
    Arbitrary<List<Step>> crowds() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.longs().between(1, 40),
                        Arbitraries.integers().between(1, 1_500_000),
                        Arbitraries.integers().between(0, 800))
                .as(Step::new)
                .list()
                .ofMaxSize(300);
    }

    @Property(seed = "20261206", tries = 300)
    void crowdsNeverHoldMoreThanTheBudgetAndLeaveNothingBehind(@ForAll("crowds") List<Step> crowd) {
        MemoryAccount account = EMPTY;
        Map<Long, Long> held = new HashMap<>();
        long now = 0;
        for (Step step : crowd) {
            now += step.millis();
            MemoryAccount.Decision decision = apply(account, step, now);
            if (step.kind() == 0 && decision.granted()) {
                held.putIfAbsent(step.connection(), 0L);
            } else if (step.kind() == 1 && decision.granted()) {
                held.merge(step.connection(), (long) step.bytes(), Long::sum);
            } else if (step.kind() == 2) {
                held.remove(step.connection());
            }
            account = decision.account();
            for (long number : decision.closed()) {
                held.remove(number);
            }
            assertEquals(held.values().stream().mapToLong(v -> v).sum(), account.usedBytes());
            assertTrue(account.usedBytes() <= BUDGET);
            assertTrue(held.size() <= MAX_CONNECTIONS);
        }
        for (long number = 1; number <= 40; number++) {
            account = account.close(number);
        }
        assertEquals(0, account.usedBytes() + account.connectionCount());
        assertEquals(0, account.bytesOf(MemoryKind.BODIES));
    }

    private static MemoryAccount.Decision apply(MemoryAccount account, Step step, long now) {
        long number = step.connection();
        return switch (step.kind()) {
            case 0 ->
                    account.isOpen(number)
                            ? unchanged(account)
                            : account.open(number, "client-" + number % 3, now);
            case 1 -> account.reserve(number, MemoryKind.BODIES, step.bytes(), now);
            case 2 -> unchanged(account.close(number));
            case 3 -> unchanged(account.progressed(number, step.bytes(), now));
            default -> unchanged(account.waitingForClient(number, step.kind() == 4, now));
        };
    }

    private static MemoryAccount.Decision unchanged(MemoryAccount account) {
        return new MemoryAccount.Decision(account, true, Vector.empty());
    }

    @Example
    void ordinaryRequestGoesOnWhileLargeBodiesFillTheirPart() {
        MemoryAccount account = EMPTY;
        for (int number = 1; number <= 10; number++) {
            account = account.open(number, "crowd", 0).account();
            account = account.reserve(number, MemoryKind.BODIES, LARGE, 0).account();
        }
        account = account.open(11, "caller", 0).account();
        assertFalse(account.reserve(11, MemoryKind.BODIES, LARGE, 0).granted());
        assertTrue(account.reserve(11, MemoryKind.BODIES, 10_000, 0).granted());
    }

    @Example
    void largestStalledHolderIsClosedFirst() {
        MemoryAccount account = open(EMPTY, 1, "crowd", 2 * LARGE);
        account = open(account, 2, "crowd", 3 * LARGE);
        account = open(account, 3, "other", 2 * LARGE);
        MemoryAccount.Decision decision =
                open(account, 4, "caller", 0).reserve(4, MemoryKind.BODIES, LARGE, 3_000);
        assertTrue(decision.granted());
        assertEquals(Vector.of(2L), decision.closed());
    }

    @Example
    void slowButSoundClientKeepsItsConnection() {
        MemoryAccount account = open(EMPTY, 1, "slow", 3 * LARGE);
        account = open(account, 2, "trickling", 3 * LARGE);
        for (long now = 0; now <= 10_000; now += 250) {
            account = account.progressed(1, 300, now).progressed(2, 1, now);
        }
        assertEquals(
                Vector.of(2L),
                open(account, 3, "caller", 0)
                        .reserve(3, MemoryKind.BODIES, 3 * LARGE, 10_000)
                        .closed());
    }

    @Example
    void connectionWhoseRequestRunsIsNotClosed() {
        MemoryAccount account = open(EMPTY, 1, "busy", 7 * LARGE).waitingForClient(1, false, 0);
        MemoryAccount.Decision decision =
                open(account, 2, "caller", 0).reserve(2, MemoryKind.BODIES, LARGE, 60_000);
        assertFalse(decision.granted());
        assertTrue(decision.closed().isEmpty());
    }

    @Example
    void idlestConnectionMakesPlaceForANewOne() {
        MemoryAccount account = EMPTY;
        for (int number = 1; number <= MAX_CONNECTIONS; number++) {
            account = account.open(number, "crowd", number).account();
        }
        assertFalse(account.open(99, "caller", 500).granted());
        assertEquals(Vector.of(1L), account.open(99, "caller", 2_000).closed());
    }

    /** The largest legal request has a body of 4 MiB, held twice, and 4,096 fields of one byte. */
    @Example
    void largestLegalRequestFitsIntoAnInstanceThatIsInCalm() {
        MemoryAccount.Limits limits =
                MemoryPlan.clients(160_000_000 - 110_000_000, 96L * 1024 * 1024, 2_212);
        MemoryAccount account = MemoryAccount.empty(limits).open(1, "caller", 0).account();
        MemoryAccount.Decision head = account.reserve(1, MemoryKind.HEADS, 4_096 * 140, 0);
        assertTrue(head.granted());
        assertTrue(head.account().reserve(1, MemoryKind.BODIES, 2L * 4_194_304, 0).granted());
    }

    private static MemoryAccount open(
            MemoryAccount account, long number, String client, long bytes) {
        return account.open(number, client, 0)
                .account()
                .reserve(number, MemoryKind.BODIES, bytes, 0)
                .account();
    }
}
