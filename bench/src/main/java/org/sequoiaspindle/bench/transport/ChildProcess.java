package org.sequoiaspindle.bench.transport;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process started by the tool. The output of the process is written to a log file. */
final class ChildProcess implements AutoCloseable {

    private static final long READY_TIMEOUT_S = 30;
    private static final long EXIT_TIMEOUT_S = 10;

    private final Process process;
    private final CompletableFuture<MatchResult> ready = new CompletableFuture<>();

    private ChildProcess(Process process) {
        this.process = process;
    }

    /**
     * Starts a process.
     *
     * @param readyLine pattern of the line that the process prints when it is ready
     */
    static ChildProcess start(
            Vector<String> command, Map<String, String> environment, Path log, Pattern readyLine) {
        ProcessBuilder builder =
                new ProcessBuilder(command.asJava())
                        .redirectErrorStream(true)
                        .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
        environment.forEach(entry -> builder.environment().put(entry._1, entry._2));
        try {
            ChildProcess child = new ChildProcess(builder.start());
            Thread reader = new Thread(() -> child.copyOutput(log, readyLine), "output of " + log);
            reader.setDaemon(true);
            reader.start();
            return child;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits for the ready line; fails if the process exits first or the timeout expires. */
    MatchResult awaitReady() {
        return ready.orTimeout(READY_TIMEOUT_S, TimeUnit.SECONDS).join();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Terminates the process with SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    /** Kills the process and waits until it has exited. */
    @Override
    public void close() {
        kill();
        process.onExit().orTimeout(EXIT_TIMEOUT_S, TimeUnit.SECONDS).join();
    }

    private void copyOutput(Path log, Pattern readyLine) {
        try (BufferedReader lines = process.inputReader();
                PrintWriter logWriter = new PrintWriter(Files.newBufferedWriter(log), true)) {
            lines.lines()
                    .forEach(
                            line -> {
                                logWriter.println(line);
                                Matcher matcher = readyLine.matcher(line);
                                if (!ready.isDone() && matcher.find()) {
                                    ready.complete(matcher.toMatchResult());
                                }
                            });
        } catch (IOException | UncheckedIOException e) {
            ready.completeExceptionally(e);
        }
        ready.completeExceptionally(
                new IllegalStateException("process exited before it was ready, see " + log));
    }
}
