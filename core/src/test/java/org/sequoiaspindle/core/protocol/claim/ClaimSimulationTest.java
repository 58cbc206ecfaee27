package org.sequoiaspindle.core.protocol.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Stream;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;

/**
 * Checks that no request is executed twice with one key, whatever fails between claim, execution
 * and recording, and that a replay equals the recorded outcome of the execution.
 */
final class ClaimSimulationTest {
    private static final ClaimMechanism.Factory CLAIM_SERVICE =
            (store, scheduler, wall, instance) ->
                    ClaimMechanism.of(
                            new ClaimService(
                                    store, scheduler, wall, wall, ids(instance), EventLog.NONE));
    private static final ClaimMechanism.Factory WITH_TAKEOVER =
            (store, scheduler, wall, instance) -> new ClaimsWithTakeover(store, wall);
    private static final ClaimMechanism.Factory WITHOUT_AGE_LIMIT =
            (store, scheduler, wall, instance) ->
                    ClaimMechanism.of(
                            new ClaimService(
                                    store,
                                    scheduler,
                                    () -> ClaimSimulation.START_MS,
                                    wall,
                                    ids(instance),
                                    EventLog.NONE));

    @Property(tries = 500, seed = "6", shrinking = ShrinkingMode.OFF)
    void requestIsExecutedAtMostOncePerKeyAndReplayedUnchanged(@ForAll long seed) {
        assertEquals(Option.none(), new ClaimSimulation(seed, CLAIM_SERVICE).violation());
    }

    @Test
    void simulationsCoverEveryKindOfResult() {
        Vector<ClaimSimulation> simulations =
                Vector.range(0, 100).map(seed -> new ClaimSimulation(seed, CLAIM_SERVICE));
        simulations.forEach(ClaimSimulation::violation);
        Vector<Class<? extends ClaimResult>> kinds =
                Vector.of(
                        ClaimResult.Granted.class,
                        ClaimResult.Replay.class,
                        ClaimResult.InUse.class,
                        ClaimResult.Expired.class,
                        ClaimResult.DigestMismatch.class,
                        ClaimResult.StoreUnavailable.class);
        kinds.forEach(
                kind ->
                        assertTrue(
                                simulations.exists(simulation -> simulation.count(kind) > 0),
                                kind::toString));
    }

    @Test
    void takingOverAnUnfinishedClaimViolatesTheGuarantee() {
        assertViolated("naive claim with takeover", WITH_TAKEOVER);
    }

    @Test
    void claimsWithoutTheAgeLimitOfKeysViolateTheGuarantee() {
        assertViolated("claim without age limit", WITHOUT_AGE_LIMIT);
    }

    private static void assertViolated(String name, ClaimMechanism.Factory factory) {
        Option<String> violation =
                Stream.range(0, 200)
                        .flatMap(seed -> new ClaimSimulation(seed, factory).violation())
                        .headOption();
        System.out.println(name + ": " + violation.getOrElse("no violation"));
        assertTrue(violation.isDefined());
    }

    private static Supplier<String> ids(String instance) {
        AtomicLong nonce = new AtomicLong();
        return () -> instance + "-" + nonce.incrementAndGet();
    }
}
