package org.sequoiaspindle.cli.transport;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import joptsimple.BuiltinHelpFormatter;
import joptsimple.OptionParser;
import org.sequoiaspindle.cli.state.ExitCode;

/** Formats the help of the tool and of each command. */
final class HelpText {

    private static final int LINE_WIDTH = 100;
    private static final int COLUMN_GAP = 2;

    private HelpText() {}

    static String ofTool() {
        return "usage: sequoiaspindle COMMAND [arguments] [options]\n\n"
                + CommandTable.ALL
                        .map(
                                definition ->
                                        "  %-12s %s%n"
                                                .formatted(definition.name(), definition.summary()))
                        .mkString()
                + "\n'sequoiaspindle COMMAND --help' lists the options of a command.\n\n"
                + exitCodes();
    }

    static String ofCommand(CommandDefinition command, OptionParser parser) {
        String usage =
                ("usage: sequoiaspindle " + command.name() + " " + command.argumentSyntax())
                        .strip();
        return usage
                + " [options]\n\n"
                + command.summary()
                + "\n\n"
                + options(parser)
                + "\n"
                + exitCodes();
    }

    private static String options(OptionParser parser) {
        parser.formatHelpWith(new BuiltinHelpFormatter(LINE_WIDTH, COLUMN_GAP));
        StringWriter help = new StringWriter();
        try {
            parser.printHelpOn(help);
        } catch (IOException e) {
            throw new UncheckedIOException("StringWriter failed", e);
        }
        return help.toString()
                .lines()
                .map(String::stripTrailing)
                .reduce("", (a, b) -> a + b + "\n");
    }

    private static String exitCodes() {
        return "Exit codes:\n"
                + Vector.of(ExitCode.values())
                        .map(
                                exitCode ->
                                        "  %d  %s%n".formatted(exitCode.code(), exitCode.meaning()))
                        .mkString();
    }
}
