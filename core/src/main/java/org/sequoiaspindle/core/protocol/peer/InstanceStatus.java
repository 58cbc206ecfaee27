package org.sequoiaspindle.core.protocol.peer;

/**
 * What is known of one entry instance.
 *
 * @param instance identifier of the instance
 * @param dataCentre data centre in which it runs
 * @param address peer address, {@code ip:port}
 * @param generation generation in force there when it was last heard of
 * @param serving {@code starting}, {@code serving} or {@code draining}; {@code suspected} if silent
 * @param lastHeardMillis milliseconds since its last heartbeat, 0 for this instance
 */
public record InstanceStatus(
        String instance,
        String dataCentre,
        String address,
        long generation,
        String serving,
        long lastHeardMillis) {}
