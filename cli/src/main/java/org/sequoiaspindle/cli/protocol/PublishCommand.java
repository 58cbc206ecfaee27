package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.LinkedHashMap;
import io.vavr.control.Either;
import org.sequoiaspindle.cli.coordination.PublicationProgress;
import org.sequoiaspindle.cli.coordination.Verdict;
import org.sequoiaspindle.cli.protocol.InstanceReply.Broken;
import org.sequoiaspindle.cli.protocol.InstanceReply.NotConnected;
import org.sequoiaspindle.cli.protocol.InstanceReply.Replied;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.PublishReport;
import org.sequoiaspindle.cli.state.PublishReport.Result;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.core.protocol.json.ObjectSetWriter;
import org.sequoiaspindle.core.state.ObjectSet;

/** Publishes a file and repeats under the same submission id while the result is unknown. */
public final class PublishCommand {

    private static final int UNAUTHENTICATED = 401;

    private PublishCommand() {}

    /**
     * Arguments of a publication.
     *
     * @param file file with the set
     * @param base generation that the set was derived from
     * @param submission identifier that makes repetitions safe
     * @param dryRun whether to check only
     */
    public record Arguments(String file, long base, String submission, boolean dryRun) {}

    public static CommandResult run(InstanceSession session, Arguments arguments) {
        return SetFile.read(arguments.file())
                .flatMap(set -> publish(session, request(session, arguments, set), arguments))
                .map(
                        report ->
                                new CommandResult(
                                        Verdict.of(report.result()),
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
        while (progress.settled().isEmpty()) {
            InstanceReply reply =
                    session.startingAt(progress.attempts()).send(request, bytes -> {});
            if (reply instanceof NotConnected failed && !progress.mayHaveRun()) {
                return Either.left(ReadFailure.unreachable(failed));
            }
            progress = progress.after(report(reply, arguments.submission()));
        }
        PublishReport settled = progress.settled().get();
        return Either.right(arguments.dryRun() ? ofDryRun(settled) : settled);
    }

    /** A dry run publishes nothing, also if its result got lost. */
    private static PublishReport ofDryRun(PublishReport report) {
        return report.result() == Result.UNKNOWN
                ? PublishReport.of(
                        Result.NOT_RUN,
                        report.submission(),
                        "the check gave no result: " + report.reason())
                : report;
    }

    private static PublishReport report(InstanceReply reply, String submission) {
        if (reply instanceof Replied replied) {
            return replied.status() == UNAUTHENTICATED
                    ? withoutReport(replied, submission)
                    : ReplyReader.publication(replied.body())
                            .getOrElse(() -> withoutReport(replied, submission));
        }
        return reply instanceof Broken broken
                ? PublishReport.of(Result.UNKNOWN, submission, broken.reason())
                : PublishReport.of(Result.NOT_RUN, submission, ((NotConnected) reply).reason());
    }

    /** A client error is given before anything is written; other statuses leave it open. */
    private static PublishReport withoutReport(Replied reply, String submission) {
        boolean refused = reply.status() >= 400 && reply.status() < 500;
        return PublishReport.of(
                refused ? Result.NOT_RUN : Result.UNKNOWN, submission, ReadFailure.refusal(reply));
    }
}
