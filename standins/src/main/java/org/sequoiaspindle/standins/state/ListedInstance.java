package org.sequoiaspindle.standins.state;

/**
 * Item of the instance list of the platform.
 *
 * @param kind {@code entry} for an entry instance, {@code endpoint} for an endpoint
 * @param address {@code ip:port}
 */
public record ListedInstance(String kind, String address, String dataCentre, boolean leaving) {

    public ListedInstance {
        if (!kind.equals("entry") && !kind.equals("endpoint")) {
            throw new IllegalArgumentException("kind must be entry or endpoint, not " + kind);
        }
    }
}
