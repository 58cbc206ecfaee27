package org.sequoiaspindle.core.fake;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/** A process that can be paused and killed: nothing runs in it meanwhile or ever after. */
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

    /** Runs the action in the process: now, after its pause, or never. */
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

    /** Timer as seen by the process. */
    public Timer timer() {
        return (delay, task) -> time.schedule(delay, () -> run(task));
    }

    /** Store as seen by the process. */
    public Store store(Store store) {
        return command -> {
            CompletableFuture<StoreResult> answer = new CompletableFuture<>();
            if (!killed) {
                store.execute(command).thenAccept(result -> run(() -> answer.complete(result)));
            }
            return answer;
        };
    }

    /** Value of a stage as seen by the process. */
    public <T> CompletionStage<T> receive(CompletionStage<T> stage) {
        CompletableFuture<T> received = new CompletableFuture<>();
        stage.thenAccept(value -> run(() -> received.complete(value)));
        return received;
    }
}
