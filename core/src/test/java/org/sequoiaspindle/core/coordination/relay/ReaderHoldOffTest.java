package org.sequoiaspindle.core.coordination.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against losing time again and again at a reader that cannot read. */
final class ReaderHoldOffTest {

    @Test
    void readerThatFailedIsAskedAgainAfterAWhile() {
        ReaderHoldOff holdOff = ReaderHoldOff.NONE.withFailure("one", 0);
        assertTrue(holdOff.isHeldOff("one", ReaderHoldOff.FIRST_HOLD_OFF_MS - 1));
        assertFalse(holdOff.isHeldOff("one", ReaderHoldOff.FIRST_HOLD_OFF_MS));
        assertFalse(holdOff.isHeldOff("two", 0));
    }

    @Test
    void readerThatKeepsFailingIsAskedLessOftenUpToALimit() {
        ReaderHoldOff holdOff = ReaderHoldOff.NONE;
        for (int failure = 0; failure < 50; failure++) {
            holdOff = holdOff.withFailure("one", 0);
        }
        assertTrue(holdOff.isHeldOff("one", ReaderHoldOff.MAX_HOLD_OFF_MS - 1));
        assertFalse(holdOff.isHeldOff("one", ReaderHoldOff.MAX_HOLD_OFF_MS));
    }

    @Test
    void successEndsTheHoldOff() {
        ReaderHoldOff holdOff =
                ReaderHoldOff.NONE.withFailure("one", 0).withSuccess("one").withFailure("one", 0);
        assertFalse(holdOff.isHeldOff("one", ReaderHoldOff.FIRST_HOLD_OFF_MS));
    }
}
