package org.sequoiaspindle.standins.state;

/**
 * Entry of the platform's instance list.
 *
 * @param kind {@code entry} or {@code endpoint}
 * @param address {@code ip:port}
 */
public record ListedInstance(String kind, String address, String dataCentre, boolean leaving) {

    public ListedInstance {
        if (!kind.equals("entry") && !kind.equals("endpoint")) {
            throw new IllegalArgumentException("kind must be entry or endpoint, not " + kind);
        }
    }
}
