package org.sequoiaspindle.daemon.transport.forwarding;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiaspindle.core.state.forwarding.IngressLimits;

/** The open connections of clients, and whether the instance is about to stop. Thread-safe. */
final class ClientConnections {

    /** Bodies held at the same time; a third of the heap that the run line allows. */
    private static final long MAX_RESERVED_BODY_BYTES = 32L * 1024 * 1024;

    private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final AtomicBoolean rejectingRequests = new AtomicBoolean();
    private final AtomicLong reservedBodyBytes = new AtomicLong();

    void add(ClientConnection connection) {
        connections.add(connection);
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Counts bytes of bodies that are held; false if there is no memory for them. */
    boolean reserveBody(int bytes) {
        return reservedBodyBytes.addAndGet(bytes) <= MAX_RESERVED_BODY_BYTES;
    }

    /** Takes back bytes that are no longer held. */
    void releaseBody(long bytes) {
        reservedBodyBytes.addAndGet(-bytes);
    }

    /** Lets every connection end after the answer to its present request. */
    void drain() {
        draining.set(true);
    }

    boolean isDraining() {
        return draining.get();
    }

    /** From now on requests are refused, since there is no time left to finish them. */
    void rejectNewRequests() {
        rejectingRequests.set(true);
    }

    boolean isRejectingRequests() {
        return rejectingRequests.get();
    }

    /** Ends the requests in progress with what is known of them. */
    void endActiveRequests() {
        for (ClientConnection connection : connections) {
            connection.channel().eventLoop().execute(connection::endActiveRequest);
        }
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Applies the time limits to every connection, each on its event loop. */
    void enforceTimeouts(IngressLimits limits) {
        for (ClientConnection connection : connections) {
            connection.channel().eventLoop().execute(() -> connection.enforceTimeouts(limits));
        }
    }

    /** Closes connections on which no request is in progress. */
    void closeIdle() {
        for (ClientConnection connection : connections) {
            connection.channel().eventLoop().execute(connection::closeIfIdle);
        }
    }
}
