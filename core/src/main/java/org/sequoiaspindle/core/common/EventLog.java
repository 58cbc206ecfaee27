package org.sequoiaspindle.core.common;

import io.vavr.collection.Map;

/** Receives log events with their fields. Thread-safe; must not block. */
@FunctionalInterface
public interface EventLog {

    /** Log that drops every event. */
    EventLog NONE = (event, fields) -> {};

    /** Records an event. Fields must hold no secrets and no request input. */
    void record(LogEvent event, Map<String, Object> fields);
}
