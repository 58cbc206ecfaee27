package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Reads and extends the list of recent submissions in a head. An entry has the form {@code
 * <id>@<generation>}, so that a repeated submission is told the generation that it got, and a
 * submission whose answer was lost can be told from one that another submission outran.
 */
final class HeadHistory {
    /** Submissions that a head lists. */
    static final int LENGTH = 32;

    private static final String SEPARATOR = "@";

    private HeadHistory() {}

    /** What a head proves about a submission that was based on a generation. */
    enum Standing {
        /** The submission is part of the history. */
        PUBLISHED,
        /** Another submission took the generation, so this one can no longer be published. */
        OUTRUN,
        /** The head is not newer than the base; a write under way may still take effect. */
        OPEN,
        /** The history no longer reaches back to the generation in question. */
        FORGOTTEN
    }

    /** History of the head that follows the previous one. */
    static Vector<String> extend(Option<Head> previous, String submissionId, long generation) {
        return previous.map(Head::recentSubmissions)
                .getOrElse(Vector.empty())
                .prepend(submissionId + SEPARATOR + generation)
                .take(LENGTH);
    }

    /** Generation that the submission got, if the history lists it. */
    static Option<Long> generationOf(Head head, String submissionId) {
        if (head.submissionId().equals(submissionId)) {
            return Option.some(head.generation());
        }
        int place =
                head.recentSubmissions()
                        .indexWhere(
                                entry ->
                                        entry.lastIndexOf(SEPARATOR) == submissionId.length()
                                                && entry.startsWith(submissionId));
        return Option.when(place >= 0, () -> head.generation() - place);
    }

    /** What the head proves about the submission. */
    static Standing standing(Option<Head> head, String submissionId, long baseGeneration) {
        long generation = head.map(Head::generation).getOrElse(0L);
        if (head.flatMap(found -> generationOf(found, submissionId)).isDefined()) {
            return Standing.PUBLISHED;
        }
        if (generation <= baseGeneration) {
            return Standing.OPEN;
        }
        long oldestListed = generation - Math.max(1, head.get().recentSubmissions().size()) + 1;
        return baseGeneration + 1 >= oldestListed ? Standing.OUTRUN : Standing.FORGOTTEN;
    }
}
