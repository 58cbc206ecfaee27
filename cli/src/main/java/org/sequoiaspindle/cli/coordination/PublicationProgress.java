package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.cli.state.PublishReport;
import org.sequoiaspindle.cli.state.PublishReport.Result;

/**
 * Decides after each attempt of a publication whether to repeat it. Once an attempt may have taken
 * effect, a later "not run" speaks for itself only and does not settle the publication.
 *
 * @param submission submission id that all attempts carry
 * @param attempts attempts that have ended
 * @param mayHaveRun whether one of them had an unknown result
 * @param settled final report, if there is one
 */
public record PublicationProgress(
        String submission, int attempts, boolean mayHaveRun, Option<PublishReport> settled) {

    /** Repetitions after an unknown result. */
    public static final int MAX_REPETITIONS = 3;

    /** Progress before the first attempt. */
    public static PublicationProgress start(String submission) {
        return new PublicationProgress(submission, 0, false, Option.none());
    }

    /** Progress after an attempt that ended with the report. */
    public PublicationProgress after(PublishReport report) {
        int ended = attempts + 1;
        boolean open =
                report.result() == Result.UNKNOWN
                        || (report.result() == Result.NOT_RUN && mayHaveRun);
        if (!open) {
            return new PublicationProgress(
                    submission, ended, mayHaveRun, Option.some(settlement(report)));
        }
        return new PublicationProgress(
                submission,
                ended,
                true,
                Option.when(ended > MAX_REPETITIONS, () -> unknown(report.reason())));
    }

    /** A conflict with our own submission means that an earlier attempt took effect. */
    private PublishReport settlement(PublishReport report) {
        boolean ours = report.result() == Result.CONFLICT && report.submission().equals(submission);
        return ours
                ? new PublishReport(
                        Result.PUBLISHED,
                        report.generation(),
                        report.operator(),
                        submission,
                        "",
                        Vector.empty())
                : report;
    }

    private PublishReport unknown(String reason) {
        return PublishReport.of(Result.UNKNOWN, submission, reason);
    }
}
