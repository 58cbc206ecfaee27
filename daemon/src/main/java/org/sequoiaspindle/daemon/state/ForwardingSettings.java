package org.sequoiaspindle.daemon.state;

import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.state.forwarding.HostPort;

/**
 * EntrySettings of an instance that forwards requests on the users' platform.
 *
 * @param instance identifier of the instance
 * @param dataCentre data centre in which it runs
 * @param callers where clients connect
 * @param readiness where the platform asks whether the instance takes connections
 * @param metrics where metrics are read
 * @param peerLink where other instances connect
 * @param store the platform's store
 * @param workers event loops that carry requests
 * @param drainMillis time from the signal to stop until the process is killed
 * @param revocationMillis time after which a revoked key must not be accepted, 0 if it may be
 * @param repeats limits of repeated sends, of all instances together
 * @param leaseMillis time to live of the instance's registration in the store
 * @param logLevel least grave events that are logged
 */
public record ForwardingSettings(
        String instance,
        String dataCentre,
        HostPort callers,
        HostPort readiness,
        HostPort metrics,
        HostPort peerLink,
        HostPort store,
        int workers,
        long drainMillis,
        long revocationMillis,
        Repeats repeats,
        long leaseMillis,
        LogEvent.Level logLevel) {

    /**
     * Limits of repeated sends.
     *
     * @param ratio repeats per request of a service
     * @param windowMillis span over which they are counted
     * @param slack repeats in a span besides the ratio
     */
    public record Repeats(double ratio, long windowMillis, double slack) {}
}
