package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.LinkedHashMap;
import io.vavr.control.Either;
import org.sequoiaspindle.cli.coordination.PublicationProgress;
import org.sequoiaspindle.cli.coordination.ResultClassifier;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.CompleteResponse;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.ConnectionLost;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.NotConnected;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.PublishReport;
import org.sequoiaspindle.cli.state.PublishReport.Result;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.core.protocol.json.ObjectSetWriter;
import org.sequoiaspindle.core.state.ObjectSet;

/** Publishes an object set, retrying with the same submission id while the result is unknown. */
public final class PublishCommand {

    private static final int UNAUTHENTICATED = 401;

    private PublishCommand() {}

    /**
     * Arguments of a publication.
     *
     * @param file file with the object set
     * @param base generation from which the object set was derived
     * @param submission submission id, which makes retries safe
     * @param dryRun whether to validate without publishing
     */
    public record Arguments(String file, long base, String submission, boolean dryRun) {}

    public static CommandResult run(InstanceSession session, Arguments arguments) {
        return InputFile.readObjectSet(arguments.file())
                .flatMap(set -> publish(session, createRequest(session, arguments, set), arguments))
                .map(
                        report ->
                                new CommandResult(
                                        ResultClassifier.exitCodeOf(report.result()),
                                        new Report.Publication(report)))
                .fold(failure -> failure, result -> result);
    }

    private static InstanceRequest createRequest(
            InstanceSession session, Arguments arguments, ObjectSet set) {
        String query =
                "?base=%d&submission=%s&dryRun=%b"
                        .formatted(arguments.base(), arguments.submission(), arguments.dryRun());
        return new InstanceRequest(
                "PUT",
                "/v1/configuration" + query,
                LinkedHashMap.empty(),
                ObjectSetWriter.write(set),
                session.credential());
    }

    private static Either<CommandResult, PublishReport> publish(
            InstanceSession session, InstanceRequest request, Arguments arguments) {
        PublicationProgress progress = PublicationProgress.start(arguments.submission());
        while (progress.finalReport().isEmpty()) {
            InstanceCallResult result =
                    session.startingAt(progress.finishedAttempts()).send(request, bytes -> {});
            if (result instanceof NotConnected notConnected && !progress.mayHaveTakenEffect()) {
                return Either.left(CallFailures.unreachable(notConnected));
            }
            progress = progress.afterAttempt(toReport(result, arguments.submission()));
        }
        PublishReport finalReport = progress.finalReport().get();
        return Either.right(arguments.dryRun() ? dryRunReport(finalReport) : finalReport);
    }

    /** Returns the report on a dry run, which publishes nothing even if the result is unknown. */
    private static PublishReport dryRunReport(PublishReport report) {
        return report.result() == Result.UNKNOWN
                ? PublishReport.of(
                        Result.NOT_RUN,
                        report.submission(),
                        "the validation returned no result: " + report.reason())
                : report;
    }

    private static PublishReport toReport(InstanceCallResult result, String submission) {
        if (result instanceof CompleteResponse response) {
            return response.status() == UNAUTHENTICATED
                    ? reportFromStatus(response, submission)
                    : InstanceResponseParser.parsePublication(response.body())
                            .getOrElse(() -> reportFromStatus(response, submission));
        }
        return result instanceof ConnectionLost connectionLost
                ? PublishReport.of(Result.UNKNOWN, submission, connectionLost.reason())
                : PublishReport.of(Result.NOT_RUN, submission, ((NotConnected) result).reason());
    }

    /**
     * Creates a report from the status of a response without a readable report. Instances send 4xx
     * before they write anything; after other statuses the result is unknown.
     */
    private static PublishReport reportFromStatus(CompleteResponse response, String submission) {
        boolean isRejected = response.status() >= 400 && response.status() < 500;
        return PublishReport.of(
                isRejected ? Result.NOT_RUN : Result.UNKNOWN,
                submission,
                CallFailures.describe(response));
    }
}
