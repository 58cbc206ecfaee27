package org.sequoiaspindle.core.protocol.peer;

/**
 * An entry of the instance list of the platform.
 *
 * @param kind kind of the instance
 * @param address {@code ip:port}; the peer port of an entry instance, the call port of an endpoint
 * @param dataCentre data centre of the instance
 * @param leaving whether the instance is shutting down
 */
public record InstanceListEntry(Kind kind, String address, String dataCentre, boolean leaving) {

    /** Kind of a listed instance: an entry instance of this system or an endpoint. */
    public enum Kind {
        ENTRY,
        ENDPOINT
    }
}
