package org.sequoiaspindle.cli.transport;

import io.vavr.control.Either;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.sequoiaspindle.cli.protocol.BoundCommand;

/**
 * Definition of one command of the tool.
 *
 * @param name name of the command on the command line
 * @param argumentSyntax positional arguments as shown in the usage line
 * @param summary description in one sentence
 * @param minArguments minimum number of positional arguments
 * @param maxArguments maximum number of positional arguments
 * @param optionDeclaration declares the options of the command
 */
record CommandDefinition(
        String name,
        String argumentSyntax,
        String summary,
        int minArguments,
        int maxArguments,
        OptionDeclaration optionDeclaration) {

    /** Declares the options of a command on an option parser. */
    @FunctionalInterface
    interface OptionDeclaration {

        Binder declareOn(OptionParser parser);
    }

    /** Creates a command from parsed options, or an error message if they are invalid. */
    @FunctionalInterface
    interface Binder {

        Either<String, BoundCommand> bind(OptionSet options, CliEnvironment environment);
    }
}
