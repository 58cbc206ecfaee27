package org.sequoiaspindle.daemon.transport.telemetry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Replaces standard error by a stream that never blocks, for stack traces and for what Log4j
 * reports about itself. Log events go to standard output on a thread of their own, which may block.
 */
public final class StandardError {

    /** Time for which the end of the process waits for the output to be read, in milliseconds. */
    private static final long FLUSH_TIMEOUT_MS = 200;

    private final NonBlockingOutput output;

    private StandardError(NonBlockingOutput output) {
        this.output = output;
    }

    /** Installs the stream for the whole process. Must be called before Log4j is initialised. */
    public static StandardError install() {
        NonBlockingOutput output =
                NonBlockingOutput.start(new FileOutputStream(FileDescriptor.err), "standard-error");
        System.setErr(new PrintStream(output, true, StandardCharsets.UTF_8));
        return new StandardError(output);
    }

    /** Ends the process. Output that nobody reads is given up. */
    public void exit(int status) {
        try {
            output.drain(FLUSH_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(status);
    }
}
