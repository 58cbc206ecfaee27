package org.sequoiaspindle.cli.protocol;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Function;
import org.sequoiaspindle.cli.protocol.InstanceReply.Broken;
import org.sequoiaspindle.cli.protocol.InstanceReply.NotConnected;
import org.sequoiaspindle.cli.protocol.InstanceReply.Replied;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;

/** Turns replies that carry no usable answer into messages that say what to do. */
final class ReadFailure {

    private static final int OK = 200;
    private static final int MAX_SHOWN_CHARACTERS = 300;

    private ReadFailure() {}

    /** The answer to a reading request, or the end of the command. */
    static <T> Either<CommandResult, T> orAnswer(
            InstanceReply reply, Function<String, Option<T>> read) {
        if (reply instanceof Replied replied && replied.status() == OK) {
            return read.apply(replied.body()).toEither(() -> unreadable(replied));
        }
        return Either.left(of(reply));
    }

    /** The end of a command whose reading request was not answered. */
    static CommandResult of(InstanceReply reply) {
        if (reply instanceof NotConnected failed) {
            return unreachable(failed);
        }
        return reply instanceof Broken broken
                ? CommandResult.message(
                        ExitCode.FAILED,
                        "instance %s gave no whole answer: %s; repeat the command"
                                .formatted(broken.instance(), broken.reason()))
                : CommandResult.message(ExitCode.FAILED, refusal((Replied) reply));
    }

    static CommandResult unreachable(NotConnected failed) {
        return CommandResult.message(
                ExitCode.UNREACHABLE,
                "no instance accepts a connection, the last was %s: %s; check --instance"
                        .formatted(failed.instance(), failed.reason()));
    }

    /** What an instance said when it refused a request. */
    static String refusal(Replied reply) {
        String advice =
                switch (reply.status()) {
                    case 401, 403 -> "; check the name and the secret";
                    case 404 -> "; check the name of the pipeline and --instance";
                    case 503 -> "; the instance is not ready, try another or wait";
                    default -> "";
                };
        return "instance %s answered with status %d%s%s"
                .formatted(reply.instance(), reply.status(), shown(reply.body()), advice);
    }

    private static CommandResult unreadable(Replied reply) {
        return CommandResult.message(
                ExitCode.FAILED,
                "the answer of %s cannot be read%s; check that --instance names an entry instance"
                        .formatted(reply.instance(), shown(reply.body())));
    }

    private static String shown(String body) {
        String said = ReplyReader.reason(body).getOrElse(body).strip();
        String cut =
                said.length() <= MAX_SHOWN_CHARACTERS
                        ? said
                        : said.substring(0, MAX_SHOWN_CHARACTERS) + "...";
        return cut.isEmpty() ? "" : " (" + ObjectNames.printable(cut) + ")";
    }
}
