package org.sequoiaspindle.daemon.transport.forwarding.client;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.coordination.forwarding.admission.DrainAdmission;
import org.sequoiaspindle.core.state.forwarding.IngressLimits;

/** The open client connections and the drain state of the instance. Thread-safe. */
public final class ClientConnections {

    private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicReference<DrainAdmission> drain =
            new AtomicReference<>(DrainAdmission.NOT_DRAINING);
    private final AtomicBoolean rejectingRequests = new AtomicBoolean();

    void add(ClientConnection connection) {
        connections.add(connection);
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Makes every connection close after the response to its current request. */
    public void drainUntil(long stopsAt) {
        drain.set(new DrainAdmission(stopsAt));
    }

    public boolean isDraining() {
        return drain.get().isDraining();
    }

    DrainAdmission drainAdmission() {
        return drain.get();
    }

    /** Rejects new requests from now on, since there is no time left to complete them. */
    public void rejectNewRequests() {
        rejectingRequests.set(true);
    }

    boolean isRejectingRequests() {
        return rejectingRequests.get();
    }

    /** Ends all requests in progress as if their deadlines had passed. */
    public void endRequests() {
        for (ClientConnection connection : connections) {
            connection.channel().eventLoop().execute(connection::endRequests);
        }
    }

    public boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Enforces the timeouts of every connection, on the event loop of the connection. */
    public void enforceTimeouts(IngressLimits limits) {
        for (ClientConnection connection : connections) {
            connection.channel().eventLoop().execute(() -> connection.enforceTimeouts(limits));
        }
    }

    /** Closes the connections without an active request. */
    public void closeIdle() {
        for (ClientConnection connection : connections) {
            connection.channel().eventLoop().execute(connection::closeIfIdle);
        }
    }
}
