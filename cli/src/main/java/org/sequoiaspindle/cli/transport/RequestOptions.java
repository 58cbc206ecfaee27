package org.sequoiaspindle.cli.transport;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.regex.Pattern;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import joptsimple.OptionSpecBuilder;
import org.sequoiaspindle.cli.protocol.BoundCommand;
import org.sequoiaspindle.cli.protocol.InputFile;
import org.sequoiaspindle.cli.protocol.RequestCommand;
import org.sequoiaspindle.cli.transport.CommandDefinition.Binder;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;

/** Options of the {@code request} command. */
final class RequestOptions {

    private static final int DEFAULT_MAX_TOKENS = 256;

    /** Maximum deadline of a request, and also of a pipeline: 1 h. */
    private static final int MAX_DEADLINE_MS = 3_600_000;

    private static final Pattern KEY_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,200}");

    private final ConnectionOptions connectionOptions;
    private final OptionSpec<String> input;
    private final OptionSpec<Integer> maxTokens;
    private final OptionSpec<Integer> deadline;
    private final OptionSpec<String> key;
    private final OptionSpecBuilder stream;

    private RequestOptions(OptionParser parser) {
        this.connectionOptions = ConnectionOptions.forOrganisation(parser);
        this.input =
                parser.accepts("input", "input text of the first stage, or @ and a file name")
                        .withRequiredArg()
                        .describedAs("TEXT|@FILE");
        this.maxTokens =
                parser.accepts(
                                "max-tokens",
                                "maximum number of tokens in the answer (default %d)"
                                        .formatted(DEFAULT_MAX_TOKENS))
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .describedAs("N");
        this.deadline =
                parser.accepts(
                                "deadline-ms",
                                "request deadline in ms from now (default: the pipeline's)")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .describedAs("ms");
        this.key =
                parser.accepts(
                                "key",
                                "idempotency key <issued at, Unix ms>-<random>; a repeat with"
                                        + " the same key and input is not executed again")
                        .withRequiredArg()
                        .describedAs("KEY");
        this.stream = parser.accepts("stream", "print tokens as they arrive");
    }

    static Binder declare(OptionParser parser) {
        return new RequestOptions(parser)::bind;
    }

    private Either<String, BoundCommand> bind(OptionSet options, CliEnvironment environment) {
        String pipeline = CommandTable.argument(options, 0);
        int tokens = options.has(maxTokens) ? options.valueOf(maxTokens) : DEFAULT_MAX_TOKENS;
        Option<Integer> deadlineMs = Option.of(options.valueOf(deadline));
        Option<String> keyValue = Option.of(options.valueOf(key));
        if (!ObjectNames.isWellFormed(pipeline)) {
            return Either.left("PIPELINE must be " + ObjectNames.FORMAT_DESCRIPTION);
        }
        if (!options.has(input)) {
            return Either.left("--input is missing; give a text or @ and a file name");
        }
        if (tokens < 1) {
            return Either.left("--max-tokens must be at least 1");
        }
        if (!deadlineMs.forAll(ms -> ms >= 1 && ms <= MAX_DEADLINE_MS)) {
            return Either.left("--deadline-ms must be 1 to " + MAX_DEADLINE_MS);
        }
        if (!keyValue.forAll(value -> KEY_PATTERN.matcher(value).matches())) {
            return Either.left("--key must be 1 to 200 printable ASCII characters, no spaces");
        }
        return readInput(options.valueOf(input))
                .map(
                        requestInput ->
                                new RequestCommand.Arguments(
                                        pipeline,
                                        requestInput,
                                        tokens,
                                        deadlineMs,
                                        keyValue,
                                        options.has(stream)))
                .flatMap(arguments -> createCommand(arguments, options, environment));
    }

    private Either<String, BoundCommand> createCommand(
            RequestCommand.Arguments arguments, OptionSet options, CliEnvironment environment) {
        int defaultTimeoutMs =
                arguments.deadlineMs().getOrElse(MAX_DEADLINE_MS)
                        + ConnectionOptions.DEFAULT_TIMEOUT_MS;
        ResultPrinter printer = ResultPrinter.of(options.has(CommandLine.JSON), environment);
        return connectionOptions
                .createSession(options, environment, unused -> defaultTimeoutMs)
                .map(session -> () -> RequestCommand.run(session, arguments, printer::printToken));
    }

    private static Either<String, String> readInput(String argument) {
        return argument.startsWith("@")
                ? InputFile.readText(argument.substring(1))
                : Either.right(argument);
    }
}
