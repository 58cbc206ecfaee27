package org.sequoiaspindle.daemon.transport.forwarding.process;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.daemon.protocol.settings.ForwardingSettingsReader;
import org.sequoiaspindle.daemon.protocol.settings.SettingsProblem;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
import org.sequoiaspindle.daemon.transport.telemetry.LogEventWriter;
import org.sequoiaspindle.daemon.transport.telemetry.StandardError;

/** Runs a forwarding instance as a process: reads settings, handles signals and exits. */
public final class ForwardingMain {

    private static final int EXIT_USAGE = 2;
    private static final int EXIT_INTERNAL_ERROR = 70;

    private ForwardingMain() {}

    /**
     * Runs an instance until SIGTERM.
     *
     * @param file settings file, or the reason why none is given
     * @param adapter creates the platform's adapter from the settings
     */
    public static void run(
            Either<String, Path> file,
            Function<ForwardingSettings, ForwardingInstance.Adapter> adapter)
            throws InterruptedException {
        ProcessSignals signals = ProcessSignals.install();
        StandardError standardError = StandardError.install();
        LogEventWriter events = LogEventWriter.createAtLevel(LogEvent.Level.INFO);
        Either<Vector<SettingsProblem>, ForwardingSettings> settings = readSettings(file);
        if (settings.isLeft()) {
            settings.getLeft()
                    .forEach(
                            problem ->
                                    events.record(
                                            LogEvent.SETTINGS_INVALID,
                                            HashMap.of(
                                                    "file", file.fold(none -> "", Path::toString),
                                                    "line", problem.line(),
                                                    "field", problem.field(),
                                                    "problem", problem.message())));
            exit(events, standardError, EXIT_USAGE);
        }
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, failure) -> {
                    events.record(
                            LogEvent.INVARIANT_BROKEN,
                            HashMap.of("thread", thread.getName(), "failure", failure.toString()));
                    failure.printStackTrace();
                    exit(events, standardError, EXIT_INTERNAL_ERROR);
                });
        LogEventWriter.createAtLevel(settings.get().logLevel());
        ForwardingInstance instance =
                ForwardingInstance.start(
                        settings.get(),
                        adapter.apply(settings.get()),
                        events,
                        LogEventWriter::droppedLines);
        signals.onReload(() -> reload(file, settings.get(), events));
        signals.awaitTermination();
        instance.drain().toCompletableFuture().join();
        exit(events, standardError, 0);
    }

    /** Flushes the log before the process exits, so that the reason for the exit is logged. */
    private static void exit(LogEventWriter events, StandardError standardError, int status) {
        events.close();
        standardError.exit(status);
    }

    private static Either<Vector<SettingsProblem>, ForwardingSettings> readSettings(
            Either<String, Path> file) {
        return file.flatMap(ForwardingMain::readFile)
                .mapLeft(reason -> Vector.of(new SettingsProblem(1, "", reason)))
                .flatMap(ForwardingSettingsReader::read);
    }

    /** Applies the new log level; all other settings take effect after a restart. */
    private static void reload(
            Either<String, Path> file, ForwardingSettings runningSettings, LogEventWriter events) {
        Either<Vector<SettingsProblem>, ForwardingSettings> newSettings = readSettings(file);
        if (newSettings.isLeft()) {
            newSettings
                    .getLeft()
                    .forEach(
                            problem ->
                                    events.record(
                                            LogEvent.SETTINGS_INVALID,
                                            HashMap.of("problem", problem.toString())));
            return;
        }
        LogEventWriter.createAtLevel(newSettings.get().logLevel());
        events.record(
                LogEvent.SETTINGS_RELOADED,
                HashMap.of("restartNeeded", !newSettings.get().equals(runningSettings)));
    }

    private static Either<String, String> readFile(Path file) {
        return Try.of(() -> Files.readString(file))
                .toEither()
                .mapLeft(failure -> "cannot read " + file + ": " + failure);
    }
}
