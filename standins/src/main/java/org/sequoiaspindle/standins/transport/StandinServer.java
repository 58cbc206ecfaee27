package org.sequoiaspindle.standins.transport;

/** A running stand-in. */
public interface StandinServer extends AutoCloseable {

    /** Returns the address as {@code ip:port}. */
    String address();

    /** Stops listening and closes all connections. */
    @Override
    void close();
}
