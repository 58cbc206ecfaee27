package org.sequoiaspindle.cli.transport;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.sequoiaspindle.cli.protocol.Command;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;

/** Runs one command line. */
final class CommandLine {

    static final String JSON = "json";

    private static final String HELP = "help";

    private CommandLine() {}

    /** Runs the command and prints its result. */
    static ExitCode run(Vector<String> arguments, Surroundings surroundings) {
        if (arguments.isEmpty() || arguments.head().equals("--help")) {
            surroundings.out().print(HelpText.ofTool());
            return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.DONE;
        }
        return CommandTable.named(arguments.head())
                .map(command -> run(command, arguments.tail(), surroundings))
                .getOrElse(
                        () ->
                                print(
                                        usage(
                                                "there is no command '%s'; see --help"
                                                        .formatted(arguments.head())),
                                        false,
                                        surroundings));
    }

    private static ExitCode run(
            CommandDefinition definition, Vector<String> arguments, Surroundings surroundings) {
        OptionParser parser = new OptionParser(false);
        CommandDefinition.Binder binder = definition.declaration().on(parser);
        parser.accepts(JSON, "print JSON, one object on a line");
        parser.accepts(HELP, "print this text");
        try {
            OptionSet options = parser.parse(arguments.toJavaArray(String[]::new));
            if (options.has(HELP)) {
                surroundings.out().print(HelpText.of(definition, parser));
                return ExitCode.DONE;
            }
            Either<String, Command> command =
                    checked(definition, options).flatMap(ok -> binder.bind(ok, surroundings));
            return print(
                    command.fold(CommandLine::usage, Command::run),
                    options.has(JSON),
                    surroundings);
        } catch (OptionException e) {
            return print(
                    usage(e.getMessage() + "; see --help"),
                    arguments.contains("--" + JSON),
                    surroundings);
        }
    }

    private static Either<String, OptionSet> checked(
            CommandDefinition definition, OptionSet options) {
        int count = options.nonOptionArguments().size();
        return count >= definition.leastArguments() && count <= definition.mostArguments()
                ? Either.right(options)
                : Either.left(
                        "wrong number of arguments; usage: sequoiaspindle %s %s"
                                .formatted(definition.name(), definition.arguments()));
    }

    private static CommandResult usage(String message) {
        return CommandResult.message(ExitCode.USAGE, message);
    }

    private static ExitCode print(CommandResult result, boolean json, Surroundings surroundings) {
        Output.of(json, surroundings).result(result);
        return result.exit();
    }
}
