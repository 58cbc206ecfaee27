package org.sequoiaspindle.standins.protocol;

/** Executes calls that hold a slot. It must not block. */
@FunctionalInterface
public interface Execution {

    /** Starts the execution; it ends with {@link ActiveCall#complete}. */
    void start(ActiveCall call);
}
