package org.sequoiaspindle.cli.transport;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.sequoiaspindle.cli.protocol.Command;
import org.sequoiaspindle.cli.protocol.ExplainCommand;
import org.sequoiaspindle.cli.protocol.HashSecretCommand;
import org.sequoiaspindle.cli.protocol.InstanceSession;
import org.sequoiaspindle.cli.protocol.PublishCommand;
import org.sequoiaspindle.cli.protocol.SetCommands;
import org.sequoiaspindle.cli.transport.CommandDefinition.Binder;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;

/** The commands of the tool in the order of the help text. */
final class CommandTable {

    /** Most log files of one command; one for each instance of a large installation. */
    private static final int MAX_FILES = 1_000;

    static final Vector<CommandDefinition> ALL =
            Vector.of(
                    new CommandDefinition(
                            "validate",
                            "FILE",
                            "Checks the object set in a file and lists all its problems.",
                            1,
                            1,
                            CommandTable::validate),
                    new CommandDefinition(
                            "publish",
                            "FILE --base N",
                            "Publishes the object set in a file.",
                            1,
                            1,
                            CommandTable::publish),
                    new CommandDefinition(
                            "status",
                            "",
                            "Shows the generation in force on each instance.",
                            0,
                            0,
                            parser -> operator(parser, (o, session) -> status(session))),
                    new CommandDefinition(
                            "show",
                            "[KIND [NAME]]",
                            "Shows the objects in force as a document that can be published.",
                            0,
                            2,
                            parser -> operator(parser, CommandTable::show)),
                    new CommandDefinition(
                            "diff",
                            "FILE",
                            "Shows what publishing a file would change.",
                            1,
                            1,
                            parser -> operator(parser, CommandTable::diff)),
                    new CommandDefinition(
                            "request",
                            "PIPELINE --input TEXT|@FILE",
                            "Sends a request through a pipeline and checks the answer.",
                            1,
                            1,
                            RequestOptions::declare),
                    new CommandDefinition(
                            "explain",
                            "REQUEST-ID FILE...",
                            "Tells from the logs of instances why a request ended as it did.",
                            2,
                            MAX_FILES,
                            parser -> CommandTable::explain),
                    new CommandDefinition(
                            "hash-secret",
                            "",
                            "Reads a secret from a prompt or standard input and prints its hash.",
                            0,
                            0,
                            parser -> CommandTable::hashSecret));

    private CommandTable() {}

    static Option<CommandDefinition> named(String name) {
        return ALL.find(definition -> definition.name().equals(name));
    }

    /** Argument that is not an option. */
    static String argument(OptionSet options, int index) {
        return options.nonOptionArguments().get(index).toString();
    }

    private static Binder validate(OptionParser parser) {
        return (options, surroundings) -> {
            String file = argument(options, 0);
            return Either.right(() -> SetCommands.validate(file));
        };
    }

    private static Binder publish(OptionParser parser) {
        var base =
                parser.accepts("base", "generation that the set was derived from, 0 for the first")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .describedAs("N");
        var submission =
                parser.accepts("submission", "submission id of an earlier try (default: a new one)")
                        .withRequiredArg()
                        .describedAs("ID");
        var dryRun = parser.accepts("dry-run", "let an instance check the set, publish nothing");
        ConnectionOptions connection = ConnectionOptions.ofOperator(parser);
        return (options, surroundings) -> {
            if (!options.has(base) || options.valueOf(base) < 0) {
                return Either.left("--base N is missing or negative; 'status' shows N");
            }
            String id =
                    options.has(submission)
                            ? options.valueOf(submission)
                            : surroundings.submissionIds().get();
            if (!ObjectNames.isWellFormed(id)) {
                return Either.left("--submission must be " + ObjectNames.RULE);
            }
            PublishCommand.Arguments arguments =
                    new PublishCommand.Arguments(
                            argument(options, 0), options.valueOf(base), id, options.has(dryRun));
            return connection
                    .session(options, surroundings, o -> ConnectionOptions.DEFAULT_TIMEOUT_MS)
                    .map(session -> () -> PublishCommand.run(session, arguments));
        };
    }

    /** Binds a command that an operator runs over a session. */
    @FunctionalInterface
    private interface OperatorBinder {

        Either<String, Command> bind(OptionSet options, InstanceSession session);
    }

    private static Binder operator(OptionParser parser, OperatorBinder binder) {
        ConnectionOptions connection = ConnectionOptions.ofOperator(parser);
        return (options, surroundings) ->
                connection
                        .session(options, surroundings, o -> ConnectionOptions.DEFAULT_TIMEOUT_MS)
                        .flatMap(session -> binder.bind(options, session));
    }

    private static Either<String, Command> status(InstanceSession session) {
        return Either.right(() -> SetCommands.status(session));
    }

    private static Either<String, Command> show(OptionSet options, InstanceSession session) {
        Vector<String> arguments = Vector.ofAll(options.nonOptionArguments()).map(Object::toString);
        Option<ObjectKind<?>> kind = arguments.headOption().flatMap(ObjectKind::named);
        if (arguments.nonEmpty() && kind.isEmpty()) {
            return Either.left(
                    "there is no kind %s; use one of %s"
                            .formatted(
                                    ObjectNames.quoted(arguments.head()),
                                    ObjectKind.ALL.map(ObjectKind::name).mkString(", ")));
        }
        Option<String> name = arguments.drop(1).headOption();
        return Either.right(() -> SetCommands.show(session, kind, name));
    }

    private static Either<String, Command> diff(OptionSet options, InstanceSession session) {
        String file = argument(options, 0);
        return Either.right(() -> SetCommands.diff(session, file));
    }

    private static Either<String, Command> explain(OptionSet options, Surroundings surroundings) {
        Vector<String> arguments = Vector.ofAll(options.nonOptionArguments()).map(Object::toString);
        return Either.right(() -> ExplainCommand.run(arguments.head(), arguments.tail()));
    }

    private static Either<String, Command> hashSecret(
            OptionSet options, Surroundings surroundings) {
        return surroundings
                .secretInput()
                .get()
                .toEither("no secret; type one or send one line to standard input")
                .flatMap(ConnectionOptions::usableSecret)
                .map(secret -> () -> HashSecretCommand.run(secret, surroundings.salts().get()));
    }
}
