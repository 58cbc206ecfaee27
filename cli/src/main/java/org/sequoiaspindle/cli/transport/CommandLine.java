package org.sequoiaspindle.cli.transport;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.sequoiaspindle.cli.protocol.BoundCommand;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;

/** Parses a command line and runs the command. */
final class CommandLine {

    static final String JSON = "json";

    private static final String HELP = "help";

    private CommandLine() {}

    /** Runs the command and prints the result. */
    static ExitCode run(Vector<String> arguments, CliEnvironment environment) {
        if (arguments.isEmpty() || arguments.head().equals("--help")) {
            environment.out().print(HelpText.ofTool());
            return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.DONE;
        }
        return CommandTable.find(arguments.head())
                .map(command -> run(command, arguments.tail(), environment))
                .getOrElse(
                        () ->
                                printResult(
                                        usageError(
                                                "there is no command '%s'; see --help"
                                                        .formatted(arguments.head())),
                                        false,
                                        environment));
    }

    private static ExitCode run(
            CommandDefinition definition, Vector<String> arguments, CliEnvironment environment) {
        OptionParser parser = new OptionParser(false);
        CommandDefinition.Binder binder = definition.optionDeclaration().declareOn(parser);
        parser.accepts(JSON, "print JSON, one object on a line");
        parser.accepts(HELP, "print this help");
        try {
            OptionSet options = parser.parse(arguments.toJavaArray(String[]::new));
            if (options.has(HELP)) {
                environment.out().print(HelpText.ofCommand(definition, parser));
                return ExitCode.DONE;
            }
            Either<String, BoundCommand> command =
                    checkArgumentCount(definition, options)
                            .flatMap(parsed -> binder.bind(parsed, environment));
            return printResult(
                    command.fold(CommandLine::usageError, BoundCommand::run),
                    options.has(JSON),
                    environment);
        } catch (OptionException e) {
            return printResult(
                    usageError(e.getMessage() + "; see --help"),
                    arguments.contains("--" + JSON),
                    environment);
        }
    }

    private static Either<String, OptionSet> checkArgumentCount(
            CommandDefinition definition, OptionSet options) {
        int count = options.nonOptionArguments().size();
        return count >= definition.minArguments() && count <= definition.maxArguments()
                ? Either.right(options)
                : Either.left(
                        "wrong number of arguments; usage: sequoiaspindle %s %s"
                                .formatted(definition.name(), definition.argumentSyntax()));
    }

    private static CommandResult usageError(String message) {
        return CommandResult.message(ExitCode.USAGE, message);
    }

    private static ExitCode printResult(
            CommandResult result, boolean json, CliEnvironment environment) {
        ResultPrinter.of(json, environment).printResult(result);
        return result.exitCode();
    }
}
