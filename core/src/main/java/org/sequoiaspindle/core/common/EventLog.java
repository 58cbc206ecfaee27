package org.sequoiaspindle.core.common;

import io.vavr.collection.Map;

/** Receives log events with their fields. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface EventLog {

    /** Discards every event. */
    EventLog NONE = (event, fields) -> {};

    /** Records an event. The fields must not contain secrets or request input. */
    void record(LogEvent event, Map<String, Object> fields);
}
