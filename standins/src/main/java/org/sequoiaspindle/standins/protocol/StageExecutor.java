package org.sequoiaspindle.standins.protocol;

/** Executes calls that hold a slot. Implementations must not block. */
@FunctionalInterface
public interface StageExecutor {

    /** Starts the execution, which ends with a call of {@link ActiveCall#complete}. */
    void start(ActiveCall call);
}
