package org.sequoiaspindle.daemon.transport.forwarding.process;

import io.netty.channel.EventLoop;
import io.vavr.collection.HashMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.admission.DrainAdmission;
import org.sequoiaspindle.daemon.transport.forwarding.client.ClientConnections;

/** Stops the client connections of an instance without cutting off requests. */
final class InstanceDrain {

    /**
     * Time for which requests are still accepted after the signal to stop, in milliseconds. The
     * platform checks readiness once a second and stops sending new connections after two failed
     * checks. It continues to send them if too few instances of a data centre are ready. Requests
     * that arrive after this time get an error response and are not forwarded.
     */
    private static final long ACCEPT_AFTER_DRAIN_MS = 2_500;

    /**
     * Time before the end of a drain at which the remaining active requests are ended, in
     * milliseconds.
     */
    private static final long FINAL_RESPONSES_MS = 300;

    /** Interval at which a drain checks for completion, in milliseconds. */
    private static final long CHECK_MS = 100;

    private final ClientConnections connections;
    private final EventLoop loop;
    private final MillisClock clock;
    private final EventLog events;
    private final long timeoutMillis;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();

    /**
     * Prepares a drain.
     *
     * @param timeoutMillis time after which the drain ends even if connections are open
     */
    InstanceDrain(
            ClientConnections connections,
            EventLoop loop,
            MillisClock clock,
            EventLog events,
            long timeoutMillis) {
        this.connections = connections;
        this.loop = loop;
        this.clock = clock;
        this.events = events;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Starts the drain. The returned future completes when all connections are closed or the time
     * limit is reached.
     */
    CompletionStage<Void> start() {
        events.record(LogEvent.DRAIN_STARTED, HashMap.empty());
        long startedAt = clock.now();
        connections.drainUntil(startedAt + timeoutMillis - FINAL_RESPONSES_MS);
        loop.scheduleWithFixedDelay(
                () -> advance(clock.now() - startedAt), CHECK_MS, CHECK_MS, TimeUnit.MILLISECONDS);
        return drained;
    }

    private void advance(long elapsed) {
        if (elapsed < DrainAdmission.acceptMillis(ACCEPT_AFTER_DRAIN_MS, timeoutMillis)) {
            return;
        }
        connections.rejectNewRequests();
        connections.closeIdle();
        if (elapsed >= timeoutMillis - FINAL_RESPONSES_MS) {
            connections.endRequests();
        }
        boolean complete = connections.isEmpty() || elapsed >= timeoutMillis;
        if (complete && !drained.isDone()) {
            // The process may exit on completion, which stops the log, so the event is logged
            // first.
            events.record(LogEvent.DRAIN_ENDED, HashMap.of("complete", connections.isEmpty()));
            drained.complete(null);
        }
    }
}
