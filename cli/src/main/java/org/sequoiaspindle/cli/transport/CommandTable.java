package org.sequoiaspindle.cli.transport;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.sequoiaspindle.cli.protocol.BoundCommand;
import org.sequoiaspindle.cli.protocol.ExplainCommand;
import org.sequoiaspindle.cli.protocol.HashSecretCommand;
import org.sequoiaspindle.cli.protocol.InstanceSession;
import org.sequoiaspindle.cli.protocol.ObjectSetCommands;
import org.sequoiaspindle.cli.protocol.PublishCommand;
import org.sequoiaspindle.cli.protocol.StrayAnswersCommand;
import org.sequoiaspindle.cli.transport.CommandDefinition.Binder;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;

/** The commands of the tool, in the order in which the help lists them. */
final class CommandTable {

    /** Maximum number of log files: one for each instance of a large installation. */
    private static final int MAX_LOG_FILES = 1_000;

    static final Vector<CommandDefinition> ALL =
            Vector.of(
                    new CommandDefinition(
                            "validate",
                            "FILE",
                            "Validates the object set in a file and lists all problems.",
                            1,
                            1,
                            CommandTable::declareValidate),
                    new CommandDefinition(
                            "publish",
                            "FILE --base N",
                            "Publishes the object set in a file.",
                            1,
                            1,
                            CommandTable::declarePublish),
                    new CommandDefinition(
                            "status",
                            "",
                            "Shows the generation in force on each instance.",
                            0,
                            0,
                            parser ->
                                    declareOperatorCommand(
                                            parser, (options, session) -> bindStatus(session))),
                    new CommandDefinition(
                            "show",
                            "[KIND [NAME]]",
                            "Shows the objects in force as a document that can be published.",
                            0,
                            2,
                            parser -> declareOperatorCommand(parser, CommandTable::bindShow)),
                    new CommandDefinition(
                            "diff",
                            "FILE",
                            "Shows what publishing a file would change.",
                            1,
                            1,
                            parser -> declareOperatorCommand(parser, CommandTable::bindDiff)),
                    new CommandDefinition(
                            "request",
                            "PIPELINE --input TEXT|@FILE",
                            "Sends a request to a pipeline and validates the answer.",
                            1,
                            1,
                            RequestOptions::declare),
                    new CommandDefinition(
                            "explain",
                            "REQUEST-ID FILE... | --stray FILE...",
                            "Explains the result of a request from the logs of instances.",
                            1,
                            1 + MAX_LOG_FILES,
                            CommandTable::declareExplain),
                    new CommandDefinition(
                            "hash-secret",
                            "",
                            "Reads a secret from a prompt or standard input and prints its hash.",
                            0,
                            0,
                            parser -> CommandTable::bindHashSecret));

    private CommandTable() {}

    static Option<CommandDefinition> find(String name) {
        return ALL.find(definition -> definition.name().equals(name));
    }

    /** Returns the positional argument at an index. */
    static String argument(OptionSet options, int index) {
        return options.nonOptionArguments().get(index).toString();
    }

    private static Binder declareValidate(OptionParser parser) {
        return (options, environment) -> {
            String file = argument(options, 0);
            return Either.right(() -> ObjectSetCommands.validate(file));
        };
    }

    private static Binder declarePublish(OptionParser parser) {
        var base =
                parser.accepts(
                                "base",
                                "generation that the object set is based on, 0 for the first")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .describedAs("N");
        var submission =
                parser.accepts(
                                "submission",
                                "submission id of an earlier attempt (default: a new id)")
                        .withRequiredArg()
                        .describedAs("ID");
        var dryRun =
                parser.accepts("dry-run", "have an instance validate the set, without publishing");
        ConnectionOptions connectionOptions = ConnectionOptions.forOperator(parser);
        return (options, environment) -> {
            if (!options.has(base) || options.valueOf(base) < 0) {
                return Either.left("--base N is missing or negative; 'status' shows N");
            }
            String id =
                    options.has(submission)
                            ? options.valueOf(submission)
                            : environment.submissionIdGenerator().get();
            if (!ObjectNames.isWellFormed(id)) {
                return Either.left("--submission must be " + ObjectNames.FORMAT_DESCRIPTION);
            }
            PublishCommand.Arguments arguments =
                    new PublishCommand.Arguments(
                            argument(options, 0), options.valueOf(base), id, options.has(dryRun));
            return connectionOptions
                    .createSession(
                            options, environment, unused -> ConnectionOptions.DEFAULT_TIMEOUT_MS)
                    .map(session -> () -> PublishCommand.run(session, arguments));
        };
    }

    /** Creates a command that sends operator requests, or an error message. */
    @FunctionalInterface
    private interface OperatorBinder {

        Either<String, BoundCommand> bind(OptionSet options, InstanceSession session);
    }

    private static Binder declareOperatorCommand(OptionParser parser, OperatorBinder binder) {
        ConnectionOptions connectionOptions = ConnectionOptions.forOperator(parser);
        return (options, environment) ->
                connectionOptions
                        .createSession(
                                options,
                                environment,
                                unused -> ConnectionOptions.DEFAULT_TIMEOUT_MS)
                        .flatMap(session -> binder.bind(options, session));
    }

    private static Either<String, BoundCommand> bindStatus(InstanceSession session) {
        return Either.right(() -> ObjectSetCommands.status(session));
    }

    private static Either<String, BoundCommand> bindShow(
            OptionSet options, InstanceSession session) {
        Vector<String> arguments = Vector.ofAll(options.nonOptionArguments()).map(Object::toString);
        Option<ObjectKind<?>> kind = arguments.headOption().flatMap(ObjectKind::find);
        if (arguments.nonEmpty() && kind.isEmpty()) {
            return Either.left(
                    "there is no kind %s; use one of %s"
                            .formatted(
                                    ObjectNames.quoted(arguments.head()),
                                    ObjectKind.ALL.map(ObjectKind::name).mkString(", ")));
        }
        Option<String> name = arguments.drop(1).headOption();
        return Either.right(() -> ObjectSetCommands.show(session, kind, name));
    }

    private static Either<String, BoundCommand> bindDiff(
            OptionSet options, InstanceSession session) {
        String file = argument(options, 0);
        return Either.right(() -> ObjectSetCommands.diff(session, file));
    }

    private static Binder declareExplain(OptionParser parser) {
        var stray =
                parser.accepts(
                        "stray",
                        "count the answers besides the expected ones (event 307) by endpoint");
        return (options, environment) -> {
            Vector<String> arguments =
                    Vector.ofAll(options.nonOptionArguments()).map(Object::toString);
            if (options.has(stray)) {
                return Either.right(() -> StrayAnswersCommand.run(arguments));
            }
            return arguments.size() > 1
                    ? Either.right(() -> ExplainCommand.run(arguments.head(), arguments.tail()))
                    : Either.left("explain needs the id of a request and a file, or --stray");
        };
    }

    private static Either<String, BoundCommand> bindHashSecret(
            OptionSet options, CliEnvironment environment) {
        return environment
                .secretReader()
                .get()
                .toEither("no secret; type one or send one line to standard input")
                .flatMap(ConnectionOptions::validateSecret)
                .map(
                        secret ->
                                () ->
                                        HashSecretCommand.run(
                                                secret, environment.saltGenerator().get()));
    }
}
