package org.sequoiaspindle.cli.protocol;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Function;
import org.sequoiaspindle.cli.protocol.InstanceReply.ConnectionLost;
import org.sequoiaspindle.cli.protocol.InstanceReply.NotConnected;
import org.sequoiaspindle.cli.protocol.InstanceReply.Replied;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;

/** Turns failed or unusable replies into error messages with advice. */
final class ReplyFailures {

    private static final int OK = 200;
    private static final int MAX_EXCERPT_CHARACTERS = 300;

    private ReplyFailures() {}

    /** The parsed body of a successful reply, or the failure to report for the command. */
    static <T> Either<CommandResult, T> parseOrFail(
            InstanceReply reply, Function<String, Option<T>> parse) {
        if (reply instanceof Replied replied && replied.status() == OK) {
            return parse.apply(replied.body()).toEither(() -> unreadable(replied));
        }
        return Either.left(resultOf(reply));
    }

    /** Result of a command whose read request failed. */
    static CommandResult resultOf(InstanceReply reply) {
        if (reply instanceof NotConnected failed) {
            return unreachable(failed);
        }
        return reply instanceof ConnectionLost broken
                ? CommandResult.message(
                        ExitCode.FAILED,
                        "instance %s sent no complete response: %s; repeat the command"
                                .formatted(broken.instance(), broken.reason()))
                : CommandResult.message(ExitCode.FAILED, describe((Replied) reply));
    }

    static CommandResult unreachable(NotConnected failed) {
        return CommandResult.message(
                ExitCode.UNREACHABLE,
                "cannot connect to any instance, last tried %s: %s; check --instance"
                        .formatted(failed.instance(), failed.reason()));
    }

    /** Describes a reply with an error status. */
    static String describe(Replied reply) {
        String advice =
                switch (reply.status()) {
                    case 401, 403 -> "; check the name and the secret";
                    case 404 -> "; check the name of the pipeline and --instance";
                    case 503 -> "; the instance is not ready, try another or wait";
                    default -> "";
                };
        return "instance %s answered with status %d%s%s"
                .formatted(reply.instance(), reply.status(), excerpt(reply.body()), advice);
    }

    private static CommandResult unreadable(Replied reply) {
        return CommandResult.message(
                ExitCode.FAILED,
                "cannot parse the response of %s%s; check that --instance names an entry instance"
                        .formatted(reply.instance(), excerpt(reply.body())));
    }

    private static String excerpt(String body) {
        String message = ReplyParser.parseReason(body).getOrElse(body).strip();
        String shortened =
                message.length() <= MAX_EXCERPT_CHARACTERS
                        ? message
                        : message.substring(0, MAX_EXCERPT_CHARACTERS) + "...";
        return shortened.isEmpty() ? "" : " (" + ObjectNames.printable(shortened) + ")";
    }
}
