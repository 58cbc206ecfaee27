package org.sequoiaspindle.cli.transport;

import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.cli.state.StreamedToken;

/** Where and in which format results are printed. */
interface Output {

    /** Prints a token of an answer that is still arriving. */
    void token(StreamedToken token);

    /** Prints the result of a command. */
    void result(CommandResult result);

    static Output of(boolean json, Surroundings surroundings) {
        return json ? json(surroundings) : text(surroundings);
    }

    private static Output json(Surroundings surroundings) {
        return new Output() {
            @Override
            public void token(StreamedToken token) {
                surroundings.out().println(JsonReport.token(token));
            }

            @Override
            public void result(CommandResult result) {
                surroundings.out().println(JsonReport.render(result));
            }
        };
    }

    private static Output text(Surroundings surroundings) {
        return new Output() {
            @Override
            public void token(StreamedToken token) {
                surroundings.out().print(token.text());
                surroundings.out().flush();
            }

            @Override
            public void result(CommandResult result) {
                boolean error =
                        result.report() instanceof Report.Message && result.exit() != ExitCode.DONE;
                (error ? surroundings.err() : surroundings.out())
                        .print(TextReport.render(result.report()));
            }
        };
    }
}
