package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;

/**
 * Report of an instance on a publication.
 *
 * @param result result of the publication
 * @param generation published generation; after a validation or a conflict the active generation;
 *     otherwise 0
 * @param operator in a conflict, the operator who published the active generation
 * @param submission submission id; in a conflict, the submission id of the active generation
 * @param reason human-readable explanation, may be empty
 * @param problems problems that make the object set invalid
 */
public record PublishReport(
        Result result,
        long generation,
        String operator,
        String submission,
        String reason,
        Vector<ValidationProblem> problems) {

    /** Result of a publication. */
    public enum Result {
        PUBLISHED,
        CHECKED,
        INVALID,
        CONFLICT,
        NOT_RUN,
        UNKNOWN
    }

    /** Creates a report without generation, operator and problems. */
    public static PublishReport of(Result result, String submission, String reason) {
        return new PublishReport(result, 0, "", submission, reason, Vector.empty());
    }
}
