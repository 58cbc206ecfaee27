package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.cli.state.PublishReport;
import org.sequoiaspindle.cli.state.PublishReport.Result;

/**
 * Decides after each attempt of a publication whether to retry. Once an attempt may have taken
 * effect, a later result "not run" applies to that later attempt only and cannot be the result of
 * the publication.
 *
 * @param submission submission id shared by all attempts
 * @param finishedAttempts number of finished attempts
 * @param mayHaveTakenEffect whether the result of any attempt was unknown
 * @param finalReport report of the publication once no retry is needed
 */
public record PublicationProgress(
        String submission,
        int finishedAttempts,
        boolean mayHaveTakenEffect,
        Option<PublishReport> finalReport) {

    /** Maximum number of retries after an unknown result. */
    public static final int MAX_RETRIES = 3;

    /** Progress before the first attempt. */
    public static PublicationProgress start(String submission) {
        return new PublicationProgress(submission, 0, false, Option.none());
    }

    /** Progress after one more attempt, which ended with the given report. */
    public PublicationProgress afterAttempt(PublishReport report) {
        int finished = finishedAttempts + 1;
        boolean undecided =
                report.result() == Result.UNKNOWN
                        || (report.result() == Result.NOT_RUN && mayHaveTakenEffect);
        if (!undecided) {
            return new PublicationProgress(
                    submission, finished, mayHaveTakenEffect, Option.some(finalReportOf(report)));
        }
        return new PublicationProgress(
                submission,
                finished,
                true,
                Option.when(finished > MAX_RETRIES, () -> unknown(report.reason())));
    }

    /** A conflict with this very submission means that an earlier attempt took effect. */
    private PublishReport finalReportOf(PublishReport report) {
        boolean ownSubmission =
                report.result() == Result.CONFLICT && report.submission().equals(submission);
        return ownSubmission
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
