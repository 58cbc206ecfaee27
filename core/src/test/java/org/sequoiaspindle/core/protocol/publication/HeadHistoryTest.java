package org.sequoiaspindle.core.protocol.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.publication.HeadHistory.Standing;

/** Guards against a submission that is called lost or published without proof. */
final class HeadHistoryTest {
    @Test
    void submissionIsPublishedWhileTheHistoryListsIt() {
        Head head = headAfter(40);
        assertEquals(Option.some(40L), HeadHistory.generationOf(head, "s40"));
        assertEquals(Option.some(9L), HeadHistory.generationOf(head, "s9"));
        assertEquals(Option.none(), HeadHistory.generationOf(head, "s8"));
        assertEquals(Standing.PUBLISHED, HeadHistory.standing(Option.some(head), "s9", 8));
    }

    @Test
    void submissionIsOutrunOnlyIfTheHistoryShowsWhoTookItsGeneration() {
        Option<Head> head = Option.some(headAfter(40));
        assertEquals(Standing.OPEN, HeadHistory.standing(head, "mine", 40));
        assertEquals(Standing.OUTRUN, HeadHistory.standing(head, "mine", 39));
        assertEquals(Standing.OUTRUN, HeadHistory.standing(head, "mine", 8));
        assertEquals(Standing.FORGOTTEN, HeadHistory.standing(head, "mine", 7));
        assertEquals(Standing.OPEN, HeadHistory.standing(Option.none(), "mine", 0));
    }

    @Test
    void idsThatContainTheSeparatorOrAnotherIdAreToldApart() {
        Head head = head(Option.none(), "a@1", 1);
        Option<Head> next = Option.some(head(Option.some(head), "a", 2));
        assertEquals(Option.some(1L), HeadHistory.generationOf(next.get(), "a@1"));
        assertEquals(Option.some(2L), HeadHistory.generationOf(next.get(), "a"));
        assertEquals(Option.none(), HeadHistory.generationOf(next.get(), "a@"));
        assertEquals(Option.none(), HeadHistory.generationOf(next.get(), ""));
    }

    private static Head headAfter(int publications) {
        return Vector.rangeClosed(1, publications)
                .foldLeft(Option.<Head>none(), (head, i) -> Option.some(head(head, "s" + i, i)))
                .get();
    }

    private static Head head(Option<Head> previous, String id, long generation) {
        Vector<String> recent = HeadHistory.extend(previous, id, generation);
        return new Head(generation, id, "operator", 0, recent, Vector.empty());
    }
}
