package org.sequoiaspindle.cli.state;

/** End of a command: its exit code and what to print. */
public record CommandResult(ExitCode exit, Report report) {

    public static CommandResult done(Report report) {
        return new CommandResult(ExitCode.DONE, report);
    }

    public static CommandResult message(ExitCode exit, String text) {
        return new CommandResult(exit, new Report.Message(text));
    }
}
