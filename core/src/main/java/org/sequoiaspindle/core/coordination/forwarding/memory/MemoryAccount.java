package org.sequoiaspindle.core.coordination.forwarding.memory;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.util.Comparator;
import java.util.function.UnaryOperator;

/**
 * The memory that the process uses for its connections, and the decisions on who gets more of it
 * and who loses its connection. Immutable.
 *
 * <p>Beyond the budget, connections of stalled clients are closed: those of the client address that
 * holds the most bytes first, of these the one that holds the most. If that does not make enough
 * room, the request for memory is refused. Connections that hold little may use a part of the
 * budget that the others may not, so that ordinary requests go on while large bodies are refused.
 */
public final class MemoryAccount {

    /**
     * Limits of an account.
     *
     * @param budgetBytes memory for all connections together
     * @param maxConnections connections at a time
     */
    public record Limits(long budgetBytes, int maxConnections) {

        /** Memory that a connection with more than {@link #SMALL_BYTES} may fill. */
        long largeHolderBytes() {
            return budgetBytes - budgetBytes / SPARED_PART;
        }
    }

    /**
     * Result of a request for memory or for a connection.
     *
     * @param closed numbers of the connections to be closed, in this order
     */
    public record Decision(MemoryAccount account, boolean granted, Vector<Long> closed) {}

    /** Total up to which a connection counts as small, in bytes. */
    static final long SMALL_BYTES = 64 * 1024;

    /** Part of the budget that is spared for small connections, as a divisor. */
    private static final long SPARED_PART = 8;

    /** Time for which a connection must have been idle to be closed in favour of a new one. */
    private static final long MIN_IDLE_MS = 1_000;

    private final Limits limits;
    private final Map<Long, MemoryHolder> holders;
    private final Map<MemoryKind, Long> bytesByKind;
    private final Map<String, Long> bytesByClient;
    private final long usedBytes;
    private final int closingCount;

    private MemoryAccount(
            Limits limits,
            Map<Long, MemoryHolder> holders,
            Map<MemoryKind, Long> bytesByKind,
            Map<String, Long> bytesByClient,
            long usedBytes,
            int closingCount) {
        this.limits = limits;
        this.holders = holders;
        this.bytesByKind = bytesByKind;
        this.bytesByClient = bytesByClient;
        this.usedBytes = usedBytes;
        this.closingCount = closingCount;
    }

    public static MemoryAccount empty(Limits limits) {
        return new MemoryAccount(limits, HashMap.empty(), HashMap.empty(), HashMap.empty(), 0, 0);
    }

    public Limits limits() {
        return limits;
    }

    public int connectionCount() {
        return holders.size();
    }

    /** Returns whether a connection has a place, though it may be about to be closed. */
    public boolean isOpen(long number) {
        return holders.containsKey(number);
    }

    /** Returns the bytes in use, without those of connections that are being closed. */
    public long usedBytes() {
        return usedBytes;
    }

    /** Returns the bytes in use, with those of connections that are being closed. */
    public long bytesOf(MemoryKind kind) {
        return bytesByKind.getOrElse(kind, 0L);
    }

    /** Returns the bytes of a client's connections, without those that are being closed. */
    public long bytesOf(String client) {
        return bytesByClient.getOrElse(client, 0L);
    }

    /**
     * Adds a connection. If there are too many, the one whose client has been idle for the longest
     * time is closed, and without such a one the new connection is refused.
     */
    public Decision open(long number, String client, long now) {
        if (holders.size() - closingCount < limits.maxConnections()) {
            return new Decision(
                    with(MemoryHolder.opened(number, client, now)), true, Vector.empty());
        }
        Vector<Long> idlest =
                holders.values()
                        .filter(holder -> holder.waitsForClient() && !holder.isClosing())
                        .filter(holder -> now - holder.progress().steadyAt() >= MIN_IDLE_MS)
                        .minBy(Comparator.comparingLong(holder -> holder.progress().steadyAt()))
                        .map(MemoryHolder::number)
                        .toVector();
        if (idlest.isEmpty()) {
            return new Decision(this, false, idlest);
        }
        return new Decision(
                closing(idlest).with(MemoryHolder.opened(number, client, now)), true, idlest);
    }

    /** Removes a connection with all that it holds. */
    public MemoryAccount close(long number) {
        return holders.get(number)
                .map(
                        holder -> {
                            MemoryAccount next = this;
                            for (MemoryKind kind : holder.bytes().keySet()) {
                                next = next.changed(number, kind, -holder.bytes().apply(kind));
                            }
                            return next.without(holder);
                        })
                .getOrElse(this);
    }

    /** Reserves memory for a connection, if need be at the expense of stalled clients. */
    public Decision reserve(long number, MemoryKind kind, long bytes, long now) {
        if (holders.get(number).forAll(MemoryHolder::isClosing)
                || bytesOf(kind) + bytes > kind.maxBytes()) {
            return new Decision(this, false, Vector.empty());
        }
        long missing = usedBytes + bytes - allowedBytes(number, bytes);
        Vector<Long> victims = missing <= 0 ? Vector.empty() : victims(number, missing, now);
        MemoryAccount freed = closing(victims);
        return freed.usedBytes + bytes <= allowedBytes(number, bytes)
                ? new Decision(freed.changed(number, kind, bytes), true, victims)
                : new Decision(freed, false, victims);
    }

    /** Changes the memory of a connection by bytes that are in use already, or not any more. */
    public MemoryAccount changed(long number, MemoryKind kind, long bytes) {
        return holders.get(number)
                .map(
                        holder -> {
                            long counted = holder.isClosing() ? 0 : bytes;
                            return new MemoryAccount(
                                    limits,
                                    holders.put(number, holder.plus(kind, bytes)),
                                    sum(bytesByKind, kind, bytes),
                                    sum(bytesByClient, holder.client(), counted),
                                    usedBytes + counted,
                                    closingCount);
                        })
                .getOrElse(this);
    }

    /** Makes room, after changes that could not be refused, at the expense of stalled clients. */
    public Decision shrink(long now) {
        Vector<Long> victims =
                usedBytes <= limits.budgetBytes()
                        ? Vector.empty()
                        : victims(-1, usedBytes - limits.budgetBytes(), now);
        return new Decision(closing(victims), true, victims);
    }

    /** Records bytes that a client has sent or taken. */
    public MemoryAccount progressed(long number, long bytes, long now) {
        return updated(number, holder -> holder.progressed(bytes, now));
    }

    /** Records whether the process waits for a client. */
    public MemoryAccount waitingForClient(long number, boolean waits, long now) {
        return updated(number, holder -> holder.waitingForClient(waits, now));
    }

    private long allowedBytes(long number, long bytes) {
        long total = holders.get(number).map(MemoryHolder::totalBytes).getOrElse(0L) + bytes;
        return total <= SMALL_BYTES ? limits.budgetBytes() : limits.largeHolderBytes();
    }

    /** Returns the stalled connections to close for the missing bytes, the first to close first. */
    private Vector<Long> victims(long except, long missingBytes, long now) {
        Vector<MemoryHolder> stalled =
                holders.values()
                        .filter(holder -> holder.number() != except && holder.isStalled(now))
                        .filter(holder -> holder.totalBytes() > 0)
                        .toVector()
                        .sorted(
                                Comparator.<MemoryHolder>comparingLong(
                                                holder -> -bytesOf(holder.client()))
                                        .thenComparingLong(holder -> -holder.totalBytes())
                                        .thenComparingLong(MemoryHolder::number));
        Vector<Long> victims = Vector.empty();
        long freed = 0;
        for (MemoryHolder holder : stalled) {
            if (freed >= missingBytes) {
                break;
            }
            victims = victims.append(holder.number());
            freed += holder.totalBytes();
        }
        return victims;
    }

    private MemoryAccount closing(Vector<Long> numbers) {
        MemoryAccount next = this;
        for (long number : numbers) {
            MemoryHolder holder = next.holders.apply(number);
            next =
                    new MemoryAccount(
                            limits,
                            next.holders.put(number, holder.closing()),
                            next.bytesByKind,
                            sum(next.bytesByClient, holder.client(), -holder.totalBytes()),
                            next.usedBytes - holder.totalBytes(),
                            next.closingCount + 1);
        }
        return next;
    }

    private MemoryAccount updated(long number, UnaryOperator<MemoryHolder> change) {
        return holders.get(number).map(change).map(this::with).getOrElse(this);
    }

    private MemoryAccount with(MemoryHolder holder) {
        return new MemoryAccount(
                limits,
                holders.put(holder.number(), holder),
                bytesByKind,
                bytesByClient,
                usedBytes,
                closingCount);
    }

    private MemoryAccount without(MemoryHolder holder) {
        return new MemoryAccount(
                limits,
                holders.remove(holder.number()),
                bytesByKind,
                bytesByClient,
                usedBytes,
                closingCount - (holder.isClosing() ? 1 : 0));
    }

    private static <K> Map<K, Long> sum(Map<K, Long> sums, K key, long change) {
        long sum = sums.getOrElse(key, 0L) + change;
        return sum == 0 ? sums.remove(key) : sums.put(key, sum);
    }
}
