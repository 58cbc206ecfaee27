package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.cli.state.PublishReport;
import org.sequoiaspindle.cli.state.PublishReport.Result;

/**
 * Decides after each attempt of a publication whether to retry. Once an attempt may have taken
 * effect, a result "not run" of a later attempt applies to that attempt only and cannot be the
 * result of the publication.
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

    /** Returns the progress before the first attempt. */
    public static PublicationProgress start(String submission) {
        return new PublicationProgress(submission, 0, false, Option.none());
    }

    /** Returns the progress after another attempt, which ended with the given report. */
    public PublicationProgress afterAttempt(PublishReport report) {
        int attempts = finishedAttempts + 1;
        boolean resultUnknown =
                report.result() == Result.UNKNOWN
                        || (report.result() == Result.NOT_RUN && mayHaveTakenEffect);
        if (!resultUnknown) {
            return new PublicationProgress(
                    submission, attempts, mayHaveTakenEffect, Option.some(finalReportOf(report)));
        }
        return new PublicationProgress(
                submission,
                attempts,
                true,
                Option.when(attempts > MAX_RETRIES, () -> unknownReport(report.reason())));
    }

    /**
     * Returns the final report of the publication. A conflict with the same submission id means
     * that an earlier attempt took effect, so the publication succeeded.
     */
    private PublishReport finalReportOf(PublishReport report) {
        boolean publishedByEarlierAttempt =
                report.result() == Result.CONFLICT && report.submission().equals(submission);
        return publishedByEarlierAttempt
                ? new PublishReport(
                        Result.PUBLISHED,
                        report.generation(),
                        report.operator(),
                        submission,
                        "",
                        Vector.empty())
                : report;
    }

    private PublishReport unknownReport(String reason) {
        return PublishReport.of(Result.UNKNOWN, submission, reason);
    }
}
