package org.sequoiaspindle.daemon.transport.telemetry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.function.LongConsumer;

/**
 * Replaces standard output and standard error by streams that never block. Log events, what Log4j
 * reports about itself, and stack traces all go through them, so a process whose output is not read
 * goes on. Must be installed before Log4j is initialised.
 */
public final class StandardStreams {

    private final NonBlockingOutput out;
    private final NonBlockingOutput err;

    private StandardStreams(NonBlockingOutput out, NonBlockingOutput err) {
        this.out = out;
        this.err = err;
    }

    /** Installs the streams for the whole process. */
    public static StandardStreams install() {
        StandardStreams streams =
                new StandardStreams(
                        NonBlockingOutput.start(
                                new FileOutputStream(FileDescriptor.out), "standard-output"),
                        NonBlockingOutput.start(
                                new FileOutputStream(FileDescriptor.err), "standard-error"));
        System.setOut(new PrintStream(streams.out, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(streams.err, true, StandardCharsets.UTF_8));
        return streams;
    }

    /** Sets the receiver of the number of dropped writes, see {@link NonBlockingOutput}. */
    public void onRecovered(LongConsumer receiver) {
        out.onRecovered(receiver);
        err.onRecovered(receiver);
    }

    /** Returns the number of writes that were dropped because the output was not read. */
    public long droppedWrites() {
        return out.droppedWrites() + err.droppedWrites();
    }

    /** Waits until everything has been written, at most for the given time for each stream. */
    public void drain(long timeoutMillis) throws InterruptedException {
        out.drain(timeoutMillis);
        err.drain(timeoutMillis);
    }
}
