package org.sequoiaspindle.cli.transport;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.sequoiaspindle.cli.state.ExitCode;

/** Result of one run of the tool inside the test process. */
record CliRun(ExitCode exitCode, String out, String err) {

    static final String SECRET = "example-ops";

    /** Runs the tool with the arguments. */
    static CliRun of(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        CliEnvironment environment =
                new CliEnvironment(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        name -> name.equals(ConnectionOptions.SECRET_VARIABLE) ? SECRET : null,
                        () -> Option.some(SECRET),
                        () -> new byte[16],
                        () -> "submission-1",
                        HttpInstanceClient::new);
        ExitCode exitCode = CommandLine.run(Vector.of(arguments), environment);
        return new CliRun(
                exitCode,
                out.toString(StandardCharsets.UTF_8),
                err.toString(StandardCharsets.UTF_8));
    }

    /** Returns the exit code, standard output and standard error as one string. */
    String transcript() {
        return "exit " + exitCode.code() + "\n" + out + (err.isEmpty() ? "" : "--- stderr\n" + err);
    }
}
