package org.sequoiaspindle.cli.transport;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.regex.Pattern;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import joptsimple.OptionSpecBuilder;
import org.sequoiaspindle.cli.protocol.Command;
import org.sequoiaspindle.cli.protocol.RequestCommand;
import org.sequoiaspindle.cli.protocol.SetFile;
import org.sequoiaspindle.cli.transport.CommandDefinition.Binder;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;

/** Options of the command that sends a request. */
final class RequestOptions {

    private static final int DEFAULT_MAX_TOKENS = 256;

    /** Without a deadline of the caller's own the pipeline's applies, which is at most 1 h. */
    private static final int MAX_DEADLINE_MS = 3_600_000;

    private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,200}");

    private final ConnectionOptions connection;
    private final OptionSpec<String> input;
    private final OptionSpec<Integer> maxTokens;
    private final OptionSpec<Integer> deadline;
    private final OptionSpec<String> key;
    private final OptionSpecBuilder stream;

    private RequestOptions(OptionParser parser) {
        this.connection = ConnectionOptions.ofOrganisation(parser);
        this.input =
                parser.accepts("input", "text that the first stage works on, or @ and a file name")
                        .withRequiredArg()
                        .describedAs("TEXT|@FILE");
        this.maxTokens =
                parser.accepts(
                                "max-tokens",
                                "bound on the tokens of the answer (default %d)"
                                        .formatted(DEFAULT_MAX_TOKENS))
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .describedAs("N");
        this.deadline =
                parser.accepts("deadline-ms", "time for the request (default: the pipeline's)")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .describedAs("ms");
        this.key =
                parser.accepts(
                                "key",
                                "idempotency key <issued at, Unix ms>-<random>; a repetition with"
                                        + " the same key and input runs nothing twice")
                        .withRequiredArg()
                        .describedAs("KEY");
        this.stream = parser.accepts("stream", "print tokens as they arrive");
    }

    static Binder declare(OptionParser parser) {
        return new RequestOptions(parser)::bind;
    }

    private Either<String, Command> bind(OptionSet options, Surroundings surroundings) {
        String pipeline = CommandTable.argument(options, 0);
        int tokens = options.has(maxTokens) ? options.valueOf(maxTokens) : DEFAULT_MAX_TOKENS;
        Option<Integer> limit = Option.of(options.valueOf(deadline));
        Option<String> keyText = Option.of(options.valueOf(key));
        if (!ObjectNames.isWellFormed(pipeline)) {
            return Either.left("PIPELINE must be " + ObjectNames.RULE);
        }
        if (!options.has(input)) {
            return Either.left("--input is missing; give a text or @ and a file name");
        }
        if (tokens < 1) {
            return Either.left("--max-tokens must be at least 1");
        }
        if (!limit.forAll(ms -> ms >= 1 && ms <= MAX_DEADLINE_MS)) {
            return Either.left("--deadline-ms must be 1 to " + MAX_DEADLINE_MS);
        }
        if (!keyText.forAll(text -> KEY.matcher(text).matches())) {
            return Either.left("--key must be 1 to 200 printable ASCII characters, no spaces");
        }
        return text(options.valueOf(input))
                .map(
                        text ->
                                new RequestCommand.Arguments(
                                        pipeline,
                                        text,
                                        tokens,
                                        limit,
                                        keyText,
                                        options.has(stream)))
                .flatMap(arguments -> command(arguments, options, surroundings));
    }

    private Either<String, Command> command(
            RequestCommand.Arguments arguments, OptionSet options, Surroundings surroundings) {
        int silence =
                arguments.deadlineMs().getOrElse(MAX_DEADLINE_MS)
                        + ConnectionOptions.DEFAULT_TIMEOUT_MS;
        Output output = Output.of(options.has(CommandLine.JSON), surroundings);
        return connection
                .session(options, surroundings, o -> silence)
                .map(session -> () -> RequestCommand.run(session, arguments, output::token));
    }

    private static Either<String, String> text(String argument) {
        return argument.startsWith("@")
                ? SetFile.text(argument.substring(1))
                : Either.right(argument);
    }
}
