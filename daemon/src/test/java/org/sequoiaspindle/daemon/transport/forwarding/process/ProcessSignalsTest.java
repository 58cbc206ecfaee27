package org.sequoiaspindle.daemon.transport.forwarding.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against signals that are lost, or end the process, while it starts. */
final class ProcessSignalsTest {

    private final ProcessSignals signals = new ProcessSignals();
    private final AtomicInteger reloads = new AtomicInteger();

    @Test
    void reloadDuringTheStartIsDoneAfterIt() {
        signals.requestReload();
        signals.requestReload();
        assertEquals(0, reloads.get());
        signals.onReload(reloads::incrementAndGet);
        assertEquals(1, reloads.get());
        signals.requestReload();
        assertEquals(2, reloads.get());
    }

    @Test
    @Timeout(10)
    void terminationDuringTheStartIsNotLost() throws InterruptedException {
        signals.terminate();
        signals.terminate();
        signals.awaitTermination();
    }
}
