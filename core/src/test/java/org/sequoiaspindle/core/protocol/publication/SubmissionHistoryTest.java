package org.sequoiaspindle.core.protocol.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.publication.SubmissionHistory.SubmissionStatus;

/** Tests that a submission is reported as published or superseded only if the head proves it. */
final class SubmissionHistoryTest {
    @Test
    void submissionIsPublishedWhileTheHistoryListsIt() {
        ConfigurationHead head = headAfter(40);
        assertEquals(Option.some(40L), SubmissionHistory.generationOf(head, "s40"));
        assertEquals(Option.some(9L), SubmissionHistory.generationOf(head, "s9"));
        assertEquals(Option.none(), SubmissionHistory.generationOf(head, "s8"));
        assertEquals(
                SubmissionStatus.PUBLISHED, SubmissionHistory.statusOf(Option.some(head), "s9", 8));
    }

    @Test
    void submissionIsSupersededOnlyIfTheHistoryListsAnotherSubmissionForItsGeneration() {
        Option<ConfigurationHead> head = Option.some(headAfter(40));
        assertEquals(SubmissionStatus.UNDECIDED, SubmissionHistory.statusOf(head, "mine", 40));
        assertEquals(SubmissionStatus.SUPERSEDED, SubmissionHistory.statusOf(head, "mine", 39));
        assertEquals(SubmissionStatus.SUPERSEDED, SubmissionHistory.statusOf(head, "mine", 8));
        assertEquals(
                SubmissionStatus.HISTORY_TOO_SHORT, SubmissionHistory.statusOf(head, "mine", 7));
        assertEquals(
                SubmissionStatus.UNDECIDED, SubmissionHistory.statusOf(Option.none(), "mine", 0));
    }

    @Test
    void idsThatContainTheSeparatorOrAnotherIdAreDistinguished() {
        ConfigurationHead head = head(Option.none(), "a@1", 1);
        Option<ConfigurationHead> next = Option.some(head(Option.some(head), "a", 2));
        assertEquals(Option.some(1L), SubmissionHistory.generationOf(next.get(), "a@1"));
        assertEquals(Option.some(2L), SubmissionHistory.generationOf(next.get(), "a"));
        assertEquals(Option.none(), SubmissionHistory.generationOf(next.get(), "a@"));
        assertEquals(Option.none(), SubmissionHistory.generationOf(next.get(), ""));
    }

    private static ConfigurationHead headAfter(int publications) {
        return Vector.rangeClosed(1, publications)
                .foldLeft(
                        Option.<ConfigurationHead>none(),
                        (head, i) -> Option.some(head(head, "s" + i, i)))
                .get();
    }

    private static ConfigurationHead head(
            Option<ConfigurationHead> previous, String id, long generation) {
        Vector<String> recent = SubmissionHistory.extend(previous, id, generation);
        return new ConfigurationHead(generation, id, "operator", 0, recent, Vector.empty());
    }
}
