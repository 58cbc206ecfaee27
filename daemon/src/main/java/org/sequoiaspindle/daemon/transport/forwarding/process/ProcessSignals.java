package org.sequoiaspindle.daemon.transport.forwarding.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import sun.misc.Signal;

/**
 * Signals that a process handles. Without a handler, SIGHUP ends the process, so the handlers are
 * installed before anything slow. A reload that is asked for during the start is done after it.
 * Thread-safe.
 */
final class ProcessSignals {

    private final CountDownLatch terminated = new CountDownLatch(1);
    private final AtomicBoolean reloadPending = new AtomicBoolean();
    private final AtomicReference<Runnable> reload = new AtomicReference<>();

    /** Creates signals that arrive by {@link #terminate} and {@link #requestReload} only. */
    ProcessSignals() {}

    /** Installs the handlers of the process. */
    static ProcessSignals install() {
        ProcessSignals signals = new ProcessSignals();
        Signal.handle(new Signal("TERM"), signal -> signals.terminate());
        Signal.handle(new Signal("HUP"), signal -> signals.requestReload());
        return signals;
    }

    void terminate() {
        terminated.countDown();
    }

    void requestReload() {
        reloadPending.set(true);
        reloadIfPending();
    }

    /** Sets how to reload, and reloads at once if that was asked for before. */
    void onReload(Runnable action) {
        reload.set(action);
        reloadIfPending();
    }

    void awaitTermination() throws InterruptedException {
        terminated.await();
    }

    private void reloadIfPending() {
        Runnable action = reload.get();
        if (action != null && reloadPending.compareAndSet(true, false)) {
            action.run();
        }
    }
}
