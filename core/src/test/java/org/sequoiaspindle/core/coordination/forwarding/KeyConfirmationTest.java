package org.sequoiaspindle.core.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against accepting an API key long after it may have been revoked. */
final class KeyConfirmationTest {

    private static final KeyConfirmation CONFIRMED = new KeyConfirmation(1_000, 50_000);

    @Test
    void recentConfirmationHolds() {
        assertTrue(CONFIRMED.isValid(3_000, 52_000, 4_000));
    }

    @Test
    void oldConfirmationDoesNotHold() {
        assertFalse(CONFIRMED.isValid(5_001, 54_001, 4_000));
    }

    @Test
    void suspensionThatTheMonotonicClockMissesEndsTheConfirmation() {
        assertFalse(CONFIRMED.isValid(1_100, 57_000, 4_000));
    }

    @Test
    void stepOfTheWallClockBackwardsEndsTheConfirmation() {
        assertFalse(CONFIRMED.isValid(2_000, 48_000, 4_000));
    }
}
