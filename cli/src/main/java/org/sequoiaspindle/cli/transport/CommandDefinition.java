package org.sequoiaspindle.cli.transport;

import io.vavr.control.Either;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.sequoiaspindle.cli.protocol.Command;

/**
 * One command of the tool.
 *
 * @param name name on the command line
 * @param arguments its arguments, for the usage line
 * @param summary what it does, in one sentence
 * @param leastArguments least number of arguments that are not options
 * @param mostArguments most such arguments
 * @param declaration declares its options
 */
record CommandDefinition(
        String name,
        String arguments,
        String summary,
        int leastArguments,
        int mostArguments,
        Declaration declaration) {

    /** Declares the options of a command on a parser. */
    @FunctionalInterface
    interface Declaration {

        Binder on(OptionParser parser);
    }

    /** Makes a command from parsed options, or tells what is wrong with them. */
    @FunctionalInterface
    interface Binder {

        Either<String, Command> bind(OptionSet options, Surroundings surroundings);
    }
}
