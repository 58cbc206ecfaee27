package org.sequoiaspindle.cli.state;

/** Result of a command: the exit code and the report to print. */
public record CommandResult(ExitCode exitCode, Report report) {

    public static CommandResult done(Report report) {
        return new CommandResult(ExitCode.DONE, report);
    }

    public static CommandResult message(ExitCode exitCode, String text) {
        return new CommandResult(exitCode, new Report.Message(text));
    }
}
