package org.sequoiaspindle.standins.protocol;

/** Executes calls that hold a slot. Implementations must not block. */
@FunctionalInterface
public interface StageExecutor {

    /** Starts the execution. The executor ends the execution with {@link ActiveCall#complete}. */
    void start(ActiveCall call);
}
