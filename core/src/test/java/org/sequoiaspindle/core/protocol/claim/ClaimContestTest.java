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
 * Guards against a second execution under one key, whatever fails between claim, call and finish,
 * and against a replay that differs from what ran.
 */
final class ClaimContestTest {
    private static final Claims.Maker KEEPER =
            (store, scheduler, wall, instance) ->
                    Claims.of(
                            new ClaimKeeper(
                                    store, scheduler, wall, wall, ids(instance), EventLog.NONE));
    private static final Claims.Maker TAKEOVER =
            (store, scheduler, wall, instance) -> new NaiveClaims(store, wall);
    private static final Claims.Maker AGELESS =
            (store, scheduler, wall, instance) ->
                    Claims.of(
                            new ClaimKeeper(
                                    store,
                                    scheduler,
                                    () -> ClaimContest.START_MS,
                                    wall,
                                    ids(instance),
                                    EventLog.NONE));

    @Property(tries = 500, seed = "6", shrinking = ShrinkingMode.OFF)
    void keyRunsAtMostOnceAndReplaysWhatRan(@ForAll long seed) {
        assertEquals(Option.none(), new ClaimContest(seed, KEEPER).violation());
    }

    @Test
    void contestsEndInEveryKindOfResult() {
        Vector<ClaimContest> contests =
                Vector.range(0, 100).map(seed -> new ClaimContest(seed, KEEPER));
        contests.forEach(ClaimContest::violation);
        Vector<Class<? extends ClaimResult>> kinds =
                Vector.of(
                        ClaimResult.Granted.class,
                        ClaimResult.Replay.class,
                        ClaimResult.InUse.class,
                        ClaimResult.Expired.class,
                        ClaimResult.DigestMismatch.class,
                        ClaimResult.StoreUnavailable.class);
        kinds.forEach(
                kind -> assertTrue(contests.exists(run -> run.count(kind) > 0), kind::toString));
    }

    @Test
    void takingOverAnUnfinishedClaimBreaksTheSameGuarantee() {
        assertBroken("naive claim with takeover", TAKEOVER);
    }

    @Test
    void claimsWithoutTheAgeLimitOfKeysBreakTheSameGuarantee() {
        assertBroken("claim without age limit", AGELESS);
    }

    private static void assertBroken(String name, Claims.Maker maker) {
        Option<String> violation =
                Stream.range(0, 200)
                        .flatMap(seed -> new ClaimContest(seed, maker).violation())
                        .headOption();
        System.out.println(name + ": " + violation.getOrElse("no violation"));
        assertTrue(violation.isDefined());
    }

    private static Supplier<String> ids(String instance) {
        AtomicLong nonce = new AtomicLong();
        return () -> instance + "-" + nonce.incrementAndGet();
    }
}
