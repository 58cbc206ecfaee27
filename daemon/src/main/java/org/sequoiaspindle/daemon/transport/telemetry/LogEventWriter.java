package org.sequoiaspindle.daemon.transport.telemetry;

import io.vavr.collection.Map;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.daemon.protocol.LogEventFields;

/**
 * Writes log events as JSON lines to standard output. The appender of {@code log4j2.xml} is
 * asynchronous and drops lines when standard output does not take them, so callers never block.
 */
public final class LogEventWriter implements EventLog, AutoCloseable {

    /** Logger of the events; the rest of the process logs elsewhere. */
    static final String LOGGER = "org.sequoiaspindle.events";

    private final Logger logger = LogManager.getLogger(LOGGER);

    /** Creates a writer and sets the least grave level that the process logs. */
    public static LogEventWriter atLevel(LogEvent.Level level) {
        Configurator.setLevel(LOGGER, level(level));
        return new LogEventWriter();
    }

    @Override
    public void record(LogEvent event, Map<String, Object> fields) {
        Level level = level(event.level());
        if (logger.isEnabled(level)) {
            logger.log(level, message(event, fields));
        }
    }

    /** Writes what is queued and stops all logging of the process; to be closed last. */
    @Override
    public void close() {
        LogManager.shutdown();
    }

    /** Message of an event, for the layout of its appender. */
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

    /** Message whose entries the layout's template picks by name. */
    private static final class EventMessage extends MapMessage<EventMessage, Object> {

        private static final long serialVersionUID = 1L;

        private EventMessage(java.util.Map<String, Object> fields) {
            super(fields);
        }
    }
}
