package org.sequoiaspindle.daemon.transport.telemetry;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.message.AsynchronouslyFormattable;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.daemon.protocol.LogEventFields;

/**
 * Writes log events as JSON lines to standard output. The appender of {@code log4j2.xml} is
 * asynchronous and drops lines when its queue is full, so callers never block. The number of lost
 * lines is reported once the output works again, and at the end of the log.
 */
public final class LogEventWriter implements EventLog, AutoCloseable {

    /** Name of the logger for events; libraries use other loggers. */
    static final String LOGGER = "org.sequoiaspindle.events";

    /** Time for which the end of the log waits for the output to be read, in milliseconds. */
    private static final long CLOSE_TIMEOUT_MS = 300;

    private static final DroppedEvents DROPPED_EVENTS = new DroppedEvents(MillisClock.monotonic());

    private final Logger logger = LogManager.getLogger(LOGGER);

    /** Creates a writer and sets the lowest level of events that the process logs. */
    public static LogEventWriter createAtLevel(LogEvent.Level level) {
        Configurator.setLevel(LOGGER, level(level));
        DROPPED_EVENTS.install();
        return new LogEventWriter();
    }

    /** Returns the number of lines that were lost because the output did not take them. */
    public static long droppedLines() {
        return DROPPED_EVENTS.total();
    }

    @Override
    public void record(LogEvent event, Map<String, Object> fields) {
        DROPPED_EVENTS.takeUnreported().forEach(this::report);
        write(event, fields);
    }

    private void report(DroppedEvents.Loss loss) {
        write(
                LogEvent.OUTPUT_DROPPED,
                HashMap.of(
                        "lines", loss.lines(),
                        "total", DROPPED_EVENTS.total(),
                        "forMs", DROPPED_EVENTS.millisSinceFirst(loss)));
    }

    private void write(LogEvent event, Map<String, Object> fields) {
        Level level = level(event.level());
        if (logger.isEnabled(level)) {
            logger.log(level, message(event, fields));
        }
    }

    /**
     * Writes all queued lines and stops logging for the whole process. The writer must be closed
     * last. Lines that nobody reads are given up, and their number is written to standard error.
     */
    @Override
    public void close() {
        DROPPED_EVENTS.takeAllUnreported().forEach(this::report);
        Thread shutdown = new Thread(LogManager::shutdown, "log-shutdown");
        shutdown.setDaemon(true);
        shutdown.start();
        try {
            shutdown.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        int unwritten = DROPPED_EVENTS.queuedEvents();
        if (unwritten > 0) {
            System.err.println("the output was not read; lines of the log given up: " + unwritten);
        }
    }

    /** Creates the Log4j message of an event. */
    static Message message(LogEvent event, Map<String, Object> fields) {
        return new EventMessage(LogEventFields.of(event, fields));
    }

    private static Level level(LogEvent.Level level) {
        return switch (level) {
            case DEBUG -> Level.DEBUG;
            case INFO -> Level.INFO;
            case WARN -> Level.WARN;
            case ERROR -> Level.ERROR;
        };
    }

    /**
     * Message whose entries the JSON layout template resolves by name. It never changes, so the
     * thread that logs does not format it.
     */
    @AsynchronouslyFormattable
    private static final class EventMessage extends MapMessage<EventMessage, Object> {

        private static final long serialVersionUID = 1L;

        private EventMessage(java.util.Map<String, Object> fields) {
            super(fields);
        }
    }
}
