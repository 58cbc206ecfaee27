package org.sequoiaspindle.daemon.transport;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.daemon.protocol.settings.EntrySettingsReader;
import org.sequoiaspindle.daemon.protocol.settings.SettingsProblem;
import org.sequoiaspindle.daemon.state.EntrySettings;
import org.sequoiaspindle.daemon.transport.telemetry.LogEventWriter;
import org.sequoiaspindle.daemon.transport.telemetry.StandardError;
import org.sequoiaspindle.daemon.transport.wiring.EntryInstance;

/**
 * Main class of the daemon: reads the settings, runs one entry instance and drains it on SIGTERM.
 */
public final class DaemonMain {

    private static final int EXIT_USAGE = 2;
    private static final int EXIT_INTERNAL_ERROR = 70;

    private DaemonMain() {}

    /** Runs the daemon until it is terminated. */
    public static void main(String[] arguments) throws InterruptedException {
        StandardError standardError = StandardError.install();
        OptionParser parser = new OptionParser();
        OptionSpec<String> file =
                parser.accepts("settings", "settings file, JSON with comments")
                        .withRequiredArg()
                        .required();
        try {
            OptionSet options = parser.parse(arguments);
            run(Path.of(options.valueOf(file)), standardError);
        } catch (OptionException e) {
            System.err.println(e.getMessage() + "; usage: sequoiaspindled --settings FILE");
            standardError.exit(EXIT_USAGE);
        }
    }

    private static void run(Path file, StandardError standardError) throws InterruptedException {
        LogEventWriter events = LogEventWriter.createAtLevel(LogEvent.Level.INFO);
        Either<Vector<SettingsProblem>, EntrySettings> settings =
                readText(file)
                        .mapLeft(reason -> Vector.of(new SettingsProblem(1, "", reason)))
                        .flatMap(
                                content ->
                                        EntrySettingsReader.read(
                                                content, name -> readText(Path.of(name))));
        if (settings.isLeft()) {
            settings.getLeft().forEach(problem -> logInvalid(events, file, problem));
            // The log is asynchronous; queued lines would be lost at exit.
            events.close();
            standardError.exit(EXIT_USAGE);
        }
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, failure) -> {
                    events.record(
                            LogEvent.INVARIANT_BROKEN,
                            HashMap.of("thread", thread.getName(), "failure", failure.toString()));
                    failure.printStackTrace();
                    events.close();
                    standardError.exit(EXIT_INTERNAL_ERROR);
                });
        LogEventWriter.createAtLevel(settings.get().logLevel());
        EntryInstance instance = EntryInstance.start(settings.get(), events);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    instance.drain().toCompletableFuture().join();
                                    instance.close();
                                    events.close();
                                    stopped.countDown();
                                    // A JVM stopped by a signal exits with 128 + the number of the
                                    // signal, but a complete drain is a success.
                                    standardError.exit(0);
                                },
                                "drain"));
        stopped.await();
    }

    private static void logInvalid(EventLog events, Path file, SettingsProblem problem) {
        events.record(
                LogEvent.SETTINGS_INVALID,
                HashMap.of(
                        "file",
                        file.toString(),
                        "line",
                        problem.line(),
                        "field",
                        problem.field(),
                        "problem",
                        problem.message()));
    }

    private static Either<String, String> readText(Path file) {
        return Try.of(() -> Files.readString(file))
                .toEither()
                .mapLeft(failure -> "cannot read " + file + ": " + failure.getMessage());
    }
}
