package org.sequoiaspindle.daemon.transport.forwarding.shared;

import io.netty.channel.Channel;
import io.vavr.collection.HashMap;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryAccount;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryKind;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/**
 * Holds the memory account of the process and closes the connections that lose their memory or
 * their place. Thread-safe.
 */
public final class MemoryLedger {

    private final AtomicReference<MemoryAccount> account;
    private final Map<Long, Runnable> closersByNumber = new ConcurrentHashMap<>();
    private final AtomicLong lastNumber = new AtomicLong();
    private final MillisClock clock;
    private final ForwardingMetrics metrics;
    private final EventLog events;

    public MemoryLedger(
            MemoryAccount.Limits limits,
            MillisClock clock,
            ForwardingMetrics metrics,
            EventLog events) {
        this.account = new AtomicReference<>(MemoryAccount.empty(limits));
        this.clock = clock;
        this.metrics = metrics;
        this.events = events;
    }

    /**
     * Adds a connection, which must be closed again also if it is not admitted.
     *
     * @param closer closes the connection; called on any thread
     */
    public ConnectionMemory open(Channel channel, Runnable closer) {
        String client = ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress();
        long number = lastNumber.incrementAndGet();
        closersByNumber.put(number, closer);
        boolean admitted =
                decide(
                        current -> current.open(number, client, clock.now()),
                        LogEvent.CONNECTION_DISPLACED);
        if (admitted) {
            update(
                    current ->
                            current.changed(
                                    number, MemoryKind.HEADS, ConnectionMemory.COVERED_BYTES));
        } else {
            closersByNumber.remove(number);
            metrics.recordClosedConnection(LogEvent.CONNECTION_REFUSED.name());
            events.record(
                    LogEvent.CONNECTION_REFUSED,
                    HashMap.of("client", client, "limit", account.get().limits().maxConnections()));
        }
        return new ConnectionMemory(this, number, admitted);
    }

    /** Returns the present account. */
    public MemoryAccount account() {
        return account.get();
    }

    boolean reserve(long number, MemoryKind kind, long bytes) {
        return decide(
                current -> current.reserve(number, kind, bytes, clock.now()),
                LogEvent.CONNECTION_CLOSED_FOR_MEMORY);
    }

    /** Changes the memory of a connection by bytes that are in use already, or not any more. */
    void change(long number, MemoryKind kind, long bytes) {
        update(current -> current.changed(number, kind, bytes));
        if (bytes > 0) {
            decide(current -> current.shrink(clock.now()), LogEvent.CONNECTION_CLOSED_FOR_MEMORY);
        }
    }

    void progressed(long number, long bytes) {
        update(current -> current.progressed(number, bytes, clock.now()));
    }

    void waitForClient(long number, boolean waits) {
        update(current -> current.waitingForClient(number, waits, clock.now()));
    }

    void recordUnread(long bytes) {
        metrics.recordClosedConnection(LogEvent.ANSWER_NOT_READ.name());
        events.record(LogEvent.ANSWER_NOT_READ, HashMap.of("bytes", bytes));
    }

    void close(long number) {
        closersByNumber.remove(number);
        update(current -> current.close(number));
    }

    private void update(UnaryOperator<MemoryAccount> change) {
        account.updateAndGet(change);
    }

    private boolean decide(
            Function<MemoryAccount, MemoryAccount.Decision> decider, LogEvent reasonToClose) {
        MemoryAccount current = account.get();
        MemoryAccount.Decision decision = decider.apply(current);
        while (!account.compareAndSet(current, decision.account())) {
            current = account.get();
            decision = decider.apply(current);
        }
        decision.closed().forEach(number -> closeConnection(number, reasonToClose));
        return decision.granted();
    }

    private void closeConnection(long number, LogEvent reason) {
        Runnable closer = closersByNumber.remove(number);
        if (closer != null) {
            metrics.recordClosedConnection(reason.name());
            events.record(reason, HashMap.of("usedBytes", account.get().usedBytes()));
            closer.run();
        }
    }
}
