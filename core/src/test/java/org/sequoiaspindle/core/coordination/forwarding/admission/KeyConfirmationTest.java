package org.sequoiaspindle.core.coordination.forwarding.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against accepting an API key long after it may have been revoked. */
final class KeyConfirmationTest {

    private static final KeyConfirmation CONFIRMATION = new KeyConfirmation(1_000, 50_000);

    @Test
    void recentConfirmationIsValid() {
        assertTrue(CONFIRMATION.isValid(3_000, 52_000, 4_000));
    }

    @Test
    void oldConfirmationIsInvalid() {
        assertFalse(CONFIRMATION.isValid(5_001, 54_001, 4_000));
    }

    @Test
    void confirmationIsInvalidAfterASuspensionOfTheMachine() {
        assertFalse(CONFIRMATION.isValid(1_100, 57_000, 4_000));
    }

    @Test
    void confirmationIsInvalidAfterTheWallClockIsSetBack() {
        assertFalse(CONFIRMATION.isValid(2_000, 48_000, 4_000));
    }
}
