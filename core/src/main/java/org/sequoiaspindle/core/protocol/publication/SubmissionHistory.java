package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Reads and extends the list of recent submissions in a head. An entry has the form {@code
 * <id>@<generation>}. The list maps a repeated submission to the generation under which the
 * submission was published. The list also shows whether a submission whose result was lost has been
 * published or superseded.
 */
final class SubmissionHistory {
    /** Maximum number of submissions listed in a head. */
    static final int MAX_ENTRIES = 32;

    private static final String SEPARATOR = "@";

    private SubmissionHistory() {}

    /** Status of a submission, as far as a head proves it. */
    enum SubmissionStatus {
        /** The history lists the submission. */
        PUBLISHED,
        /**
         * Another submission was published under the generation that follows the base generation,
         * so this submission can no longer be published.
         */
        SUPERSEDED,
        /**
         * The head is not newer than the base generation, so a head write in flight may still take
         * effect.
         */
        UNDECIDED,
        /** The history no longer contains the generation that follows the base generation. */
        HISTORY_TOO_SHORT
    }

    /**
     * Returns the history for a new head: the history of the previous head plus the new submission.
     */
    static Vector<String> extend(
            Option<ConfigurationHead> previous, String submissionId, long generation) {
        return previous.map(ConfigurationHead::recentSubmissions)
                .getOrElse(Vector.empty())
                .prepend(submissionId + SEPARATOR + generation)
                .take(MAX_ENTRIES);
    }

    /** Returns the generation under which the submission was published, if the history lists it. */
    static Option<Long> generationOf(ConfigurationHead head, String submissionId) {
        if (head.submissionId().equals(submissionId)) {
            return Option.some(head.generation());
        }
        int index =
                head.recentSubmissions()
                        .indexWhere(
                                entry ->
                                        entry.lastIndexOf(SEPARATOR) == submissionId.length()
                                                && entry.startsWith(submissionId));
        return Option.when(index >= 0, () -> head.generation() - index);
    }

    /**
     * Returns the status of the submission as far as the head proves it. The head is absent if
     * nothing has been published yet.
     */
    static SubmissionStatus statusOf(
            Option<ConfigurationHead> head, String submissionId, long baseGeneration) {
        long generation = head.map(ConfigurationHead::generation).getOrElse(0L);
        if (head.flatMap(found -> generationOf(found, submissionId)).isDefined()) {
            return SubmissionStatus.PUBLISHED;
        }
        if (generation <= baseGeneration) {
            return SubmissionStatus.UNDECIDED;
        }
        long oldestListed = generation - Math.max(1, head.get().recentSubmissions().size()) + 1;
        return baseGeneration + 1 >= oldestListed
                ? SubmissionStatus.SUPERSEDED
                : SubmissionStatus.HISTORY_TOO_SHORT;
    }
}
