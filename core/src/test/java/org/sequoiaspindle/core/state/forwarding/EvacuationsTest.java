package org.sequoiaspindle.core.state.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.Evacuations.Change;
import org.sequoiaspindle.core.state.forwarding.Evacuations.Listing;

/** Guards against late updates that evacuate or restore a data centre once more. */
final class EvacuationsTest {

    private final Evacuations listed = Evacuations.UNREAD.with(new Listing(Map.of("a", 4L), 10));

    @Test
    void changeReplacesOnlyAnOlderState() {
        Evacuations restored = listed.with(new Change("a", false, 12));
        assertFalse(restored.isEvacuated("a"));
        assertEquals(restored, restored.with(new Change("a", true, 11)));
        assertTrue(restored.with(new Change("a", true, 13)).isEvacuated("a"));
    }

    /** Guards against changes that the watch repeats from before the listing. */
    @Test
    void changeFromBeforeTheListingIsIgnored() {
        assertEquals(listed, listed.with(new Change("a", false, 9)));
        assertEquals(listed, listed.with(new Change("b", true, 9)));
    }

    @Test
    void listingReplacesOnlyOlderStates() {
        Evacuations changed = listed.with(new Change("b", true, 12));
        Evacuations next = changed.with(new Listing(Map.of("c", 11L), 11));
        assertEquals(Set.of("b", "c"), next.evacuated());
        assertEquals(next, next.with(new Listing(Map.of("a", 4L), 10)));
        assertEquals(Set.of(), next.with(new Listing(Map.of(), 12)).evacuated());
    }

    /** Guards against an instance that takes requests before it knows what is evacuated. */
    @Test
    void stateIsListedOnlyAfterAListing() {
        assertFalse(Evacuations.UNREAD.with(new Change("a", true, 12)).isListed());
        assertTrue(listed.isListed());
    }
}
