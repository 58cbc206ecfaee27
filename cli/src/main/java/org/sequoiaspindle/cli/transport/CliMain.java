package org.sequoiaspindle.cli.transport;

import io.vavr.collection.Vector;
import org.sequoiaspindle.cli.state.ExitCode;

/** Entry point of the operators' command-line tool. */
public final class CliMain {

    private CliMain() {}

    public static void main(String[] arguments) {
        ExitCode exitCode =
                CommandLine.run(Vector.of(arguments), CliEnvironment.ofCurrentProcess());
        System.exit(exitCode.code());
    }
}
