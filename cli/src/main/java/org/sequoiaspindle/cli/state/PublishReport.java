package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;

/**
 * An instance's report on a publication.
 *
 * @param result result of the publication
 * @param generation generation that was published, or that is in force
 * @param operator in a conflict, the operator who published the generation in force
 * @param submission submission id that the report refers to
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

    /** A report without generation, operator and problems. */
    public static PublishReport of(Result result, String submission, String reason) {
        return new PublishReport(result, 0, "", submission, reason, Vector.empty());
    }
}
