package org.sequoiaspindle.core.fake;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * Simulated process that can be paused and killed. Actions of a paused process are delayed; actions
 * of a killed process are dropped.
 */
public final class FakeProcess {
    private final VirtualTime time;
    private boolean killed;
    private long pausedUntil;

    public FakeProcess(VirtualTime time) {
        this.time = time;
    }

    public void kill() {
        killed = true;
    }

    public void pause(long millis) {
        pausedUntil = Math.max(pausedUntil, time.now() + millis);
    }

    /**
     * Runs the action at once, after the end of the pause, or not at all if the process was killed.
     */
    public void run(Runnable action) {
        if (killed) {
            return;
        }
        if (time.now() < pausedUntil) {
            time.schedule(pausedUntil - time.now(), () -> run(action));
            return;
        }
        action.run();
    }

    /** Returns a timer that runs its tasks in the process. */
    public Timer timer() {
        return (delay, task) -> time.schedule(delay, () -> run(task));
    }

    /** Returns a store whose results arrive in the process. */
    public Store store(Store store) {
        return command -> {
            CompletableFuture<StoreResult> response = new CompletableFuture<>();
            if (!killed) {
                store.execute(command).thenAccept(result -> run(() -> response.complete(result)));
            }
            return response;
        };
    }

    /**
     * Returns a {@code CompletionStage} that completes in the process with the value of the given
     * {@code CompletionStage}.
     */
    public <T> CompletionStage<T> receive(CompletionStage<T> stage) {
        CompletableFuture<T> receivedValue = new CompletableFuture<>();
        stage.thenAccept(value -> run(() -> receivedValue.complete(value)));
        return receivedValue;
    }
}
