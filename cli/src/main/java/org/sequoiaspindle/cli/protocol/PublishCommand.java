package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.LinkedHashMap;
import io.vavr.control.Either;
import org.sequoiaspindle.cli.coordination.PublicationProgress;
import org.sequoiaspindle.cli.coordination.ResultClassifier;
import org.sequoiaspindle.cli.protocol.InstanceReply.ConnectionLost;
import org.sequoiaspindle.cli.protocol.InstanceReply.NotConnected;
import org.sequoiaspindle.cli.protocol.InstanceReply.Replied;
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
     * @param base generation that the set was derived from
     * @param submission id that makes retries safe
     * @param dryRun whether to validate without publishing
     */
    public record Arguments(String file, long base, String submission, boolean dryRun) {}

    public static CommandResult run(InstanceSession session, Arguments arguments) {
        return InputFile.readObjectSet(arguments.file())
                .flatMap(set -> publish(session, request(session, arguments, set), arguments))
                .map(
                        report ->
                                new CommandResult(
                                        ResultClassifier.exitCodeOf(report.result()),
                                        new Report.Publication(report)))
                .fold(failure -> failure, result -> result);
    }

    private static InstanceRequest request(
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
            InstanceReply reply =
                    session.startingAt(progress.finishedAttempts()).send(request, bytes -> {});
            if (reply instanceof NotConnected failed && !progress.mayHaveTakenEffect()) {
                return Either.left(ReplyFailures.unreachable(failed));
            }
            progress = progress.afterAttempt(report(reply, arguments.submission()));
        }
        PublishReport finalReport = progress.finalReport().get();
        return Either.right(arguments.dryRun() ? dryRunReport(finalReport) : finalReport);
    }

    /** A dry run publishes nothing, even if its result is unknown. */
    private static PublishReport dryRunReport(PublishReport report) {
        return report.result() == Result.UNKNOWN
                ? PublishReport.of(
                        Result.NOT_RUN,
                        report.submission(),
                        "the validation returned no result: " + report.reason())
                : report;
    }

    private static PublishReport report(InstanceReply reply, String submission) {
        if (reply instanceof Replied replied) {
            return replied.status() == UNAUTHENTICATED
                    ? reportFromStatus(replied, submission)
                    : ReplyParser.parsePublication(replied.body())
                            .getOrElse(() -> reportFromStatus(replied, submission));
        }
        return reply instanceof ConnectionLost broken
                ? PublishReport.of(Result.UNKNOWN, submission, broken.reason())
                : PublishReport.of(Result.NOT_RUN, submission, ((NotConnected) reply).reason());
    }

    /** Instances send 4xx before writing anything; after other statuses the result is unknown. */
    private static PublishReport reportFromStatus(Replied reply, String submission) {
        boolean rejected = reply.status() >= 400 && reply.status() < 500;
        return PublishReport.of(
                rejected ? Result.NOT_RUN : Result.UNKNOWN,
                submission,
                ReplyFailures.describe(reply));
    }
}
