package org.sequoiaspindle.cli.protocol;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Function;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.CompleteResponse;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.ConnectionLost;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.NotConnected;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;

/** Turns failed calls and unusable responses into error messages with advice. */
final class CallFailures {

    private static final int OK = 200;
    private static final int MAX_EXCERPT_CHARACTERS = 300;

    private CallFailures() {}

    /**
     * Parses the body of a response. Returns the error result of the command if the call failed or
     * the body is not readable.
     */
    static <T> Either<CommandResult, T> parseOrFail(
            InstanceCallResult result, Function<String, Option<T>> parse) {
        if (result instanceof CompleteResponse response && response.status() == OK) {
            return parse.apply(response.body()).toEither(() -> unreadableResponse(response));
        }
        return Either.left(resultOf(result));
    }

    /** Returns the result of a command whose GET request failed. */
    static CommandResult resultOf(InstanceCallResult result) {
        if (result instanceof NotConnected notConnected) {
            return unreachable(notConnected);
        }
        return result instanceof ConnectionLost connectionLost
                ? CommandResult.message(
                        ExitCode.FAILED,
                        "instance %s sent no complete response: %s; repeat the command"
                                .formatted(connectionLost.instance(), connectionLost.reason()))
                : CommandResult.message(ExitCode.FAILED, describe((CompleteResponse) result));
    }

    static CommandResult unreachable(NotConnected notConnected) {
        return CommandResult.message(
                ExitCode.UNREACHABLE,
                "cannot connect to any instance, last tried %s: %s; check --instance"
                        .formatted(notConnected.instance(), notConnected.reason()));
    }

    /** Describes a response with an error status. */
    static String describe(CompleteResponse response) {
        String advice =
                switch (response.status()) {
                    case 401, 403 -> "; check the name and the secret";
                    case 404 -> "; check the name of the pipeline and --instance";
                    case 503 -> "; the instance is not ready, try another or wait";
                    default -> "";
                };
        return "instance %s answered with status %d%s%s"
                .formatted(
                        response.instance(), response.status(), excerpt(response.body()), advice);
    }

    private static CommandResult unreadableResponse(CompleteResponse response) {
        return CommandResult.message(
                ExitCode.FAILED,
                "cannot parse the response of %s%s; check that --instance names an entry instance"
                        .formatted(response.instance(), excerpt(response.body())));
    }

    private static String excerpt(String body) {
        String message = InstanceResponseParser.parseReason(body).getOrElse(body).strip();
        String shortMessage =
                message.length() <= MAX_EXCERPT_CHARACTERS
                        ? message
                        : message.substring(0, MAX_EXCERPT_CHARACTERS) + "...";
        return shortMessage.isEmpty() ? "" : " (" + ObjectNames.printable(shortMessage) + ")";
    }
}
