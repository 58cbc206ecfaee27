package org.sequoiaspindle.standins.transport;

import org.sequoiaspindle.standins.coordination.RegistryStore;
import org.sequoiaspindle.standins.protocol.RegistryFrontEnd;
import org.sequoiaspindle.standins.state.ImmutableBytes;

/** Stand-in for the store of the users' platform. */
public final class RegistryServer implements StandinServer {

    private final RegistryStore store =
            new RegistryStore(EventLoops.nowMs(), EventLoops.scheduler());
    private final RegistryFrontEnd frontEnd = new RegistryFrontEnd(store);
    private final TcpListener listener;

    private RegistryServer(int port) {
        listener = TcpListener.http("127.0.0.1", port, frontEnd.handler());
    }

    /**
     * Starts a server on the loopback interface.
     *
     * @param port port to listen on, 0 for an ephemeral port
     */
    public static RegistryServer start(int port) {
        return new RegistryServer(port);
    }

    @Override
    public String address() {
        return listener.address();
    }

    /** Writes a key unconditionally, as the operator or a replica does. */
    public void write(String key, String value) {
        store.write(key, ImmutableBytes.of(value), 0);
    }

    public void remove(String key) {
        store.remove(key);
    }

    /** Evacuates a data centre, as the operator does. */
    public void evacuate(String dataCentre) {
        frontEnd.evacuate(dataCentre);
    }

    /** Restores an evacuated data centre. */
    public void restore(String dataCentre) {
        frontEnd.restore(dataCentre);
    }

    /** Returns the number of keys with a prefix. */
    public int countKeys(String prefix) {
        return store.range(prefix, "").size();
    }

    /** Returns the number of reads, listings and watches so far. */
    public int readCount() {
        return frontEnd.readCount();
    }

    /** Discards the history of changes; watches from an older revision are rejected afterwards. */
    public void compact() {
        store.compact();
    }

    /** Sets whether the connection of every call is closed without executing the call. */
    public void setDown(boolean value) {
        frontEnd.setDown(value);
    }

    @Override
    public void close() {
        listener.close();
    }
}
