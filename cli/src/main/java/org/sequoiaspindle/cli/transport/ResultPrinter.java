package org.sequoiaspindle.cli.transport;

import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.cli.state.StreamedToken;

/** Prints results of commands as text or JSON. */
interface ResultPrinter {

    /** Prints a token of a streamed answer. */
    void printToken(StreamedToken token);

    /** Prints the result of a command. */
    void printResult(CommandResult result);

    /** Creates a printer for JSON or text output. */
    static ResultPrinter of(boolean json, CliEnvironment environment) {
        return json ? json(environment) : text(environment);
    }

    private static ResultPrinter json(CliEnvironment environment) {
        return new ResultPrinter() {
            @Override
            public void printToken(StreamedToken token) {
                environment.out().println(JsonReportFormatter.formatToken(token));
            }

            @Override
            public void printResult(CommandResult result) {
                environment.out().println(JsonReportFormatter.format(result));
            }
        };
    }

    private static ResultPrinter text(CliEnvironment environment) {
        return new ResultPrinter() {
            @Override
            public void printToken(StreamedToken token) {
                environment.out().print(token.text());
                environment.out().flush();
            }

            @Override
            public void printResult(CommandResult result) {
                boolean isError =
                        result.report() instanceof Report.Message
                                && result.exitCode() != ExitCode.DONE;
                (isError ? environment.err() : environment.out())
                        .print(TextReportFormatter.format(result.report()));
            }
        };
    }
}
