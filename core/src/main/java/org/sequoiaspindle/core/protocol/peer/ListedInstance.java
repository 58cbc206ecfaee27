package org.sequoiaspindle.core.protocol.peer;

/**
 * An entry of the platform's list.
 *
 * @param kind what runs there
 * @param address {@code ip:port}; the peer port of an entry instance, the call port of an endpoint
 * @param dataCentre data centre in which it runs
 * @param leaving whether it is about to stop
 */
public record ListedInstance(Kind kind, String address, String dataCentre, boolean leaving) {

    /** What runs on a listed machine. */
    public enum Kind {
        ENTRY,
        ENDPOINT
    }
}
