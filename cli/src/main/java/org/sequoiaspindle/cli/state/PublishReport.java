package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.coordination.configuration.Problem;

/**
 * What an instance said of a publication.
 *
 * @param result what became of it
 * @param generation generation published or in force
 * @param operator operator who published the generation in force, for a conflict
 * @param submission submission id that this report is about
 * @param reason text for people, empty if none is needed
 * @param problems why the set is invalid
 */
public record PublishReport(
        Result result,
        long generation,
        String operator,
        String submission,
        String reason,
        Vector<Problem> problems) {

    /** What became of a publication. */
    public enum Result {
        PUBLISHED,
        CHECKED,
        INVALID,
        CONFLICT,
        NOT_RUN,
        UNKNOWN
    }

    /** Report without generation, operator and problems. */
    public static PublishReport of(Result result, String submission, String reason) {
        return new PublishReport(result, 0, "", submission, reason, Vector.empty());
    }
}
