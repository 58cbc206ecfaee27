package org.sequoiaspindle.core.protocol.peer;

/**
 * Status of one entry instance, as known to this instance.
 *
 * @param instance identifier of the instance
 * @param dataCentre data centre of the instance
 * @param address peer address, {@code ip:port}
 * @param generation active generation of the instance, as last reported
 * @param state {@code starting}, {@code serving} or {@code draining} as last reported, or {@code
 *     suspected} if its heartbeats have stopped
 * @param lastHeardMillis milliseconds since its last heartbeat, 0 for this instance
 */
public record InstanceStatus(
        String instance,
        String dataCentre,
        String address,
        long generation,
        String state,
        long lastHeardMillis) {}
