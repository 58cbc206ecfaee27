package org.sequoiaspindle.core.protocol.peer;

/**
 * Status of one entry instance, as known to this instance.
 *
 * @param instance identifier of the instance
 * @param dataCentre data centre of the instance
 * @param address peer address, {@code ip:port}
 * @param generation active generation of the instance, as last reported
 * @param state {@code starting}, {@code serving} or {@code draining} as last reported, or {@code
 *     suspected} if the heartbeats of the instance have stopped
 * @param lastHeardMillis milliseconds since the last heartbeat of the instance, 0 for the instance
 *     that reports the status
 */
public record InstanceStatus(
        String instance,
        String dataCentre,
        String address,
        long generation,
        String state,
        long lastHeardMillis) {}
