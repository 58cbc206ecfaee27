package org.sequoiaspindle.daemon.state;

import java.util.Optional;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.state.forwarding.HostPort;

/**
 * Settings of an instance that forwards requests on the users' platform.
 *
 * @param instance identifier of the instance
 * @param dataCentre data centre in which the instance runs
 * @param callers listener for clients
 * @param readiness listener for the platform's readiness check
 * @param metrics listener for reading metrics
 * @param peerLink listener for pieces from other instances
 * @param relay listener for instances that read the store through this one
 * @param store address of the platform's key-value store
 * @param eventLoops number of event loops that serve requests
 * @param drainTimeoutMillis time that draining may take after the signal to stop
 * @param maxRevokedKeyMillis longest time for which a revoked key may still be accepted, 0 for no
 *     limit
 * @param retryLimits limits of retries, for all instances together
 * @param leaseMillis time to live of the instance's registration in the store
 * @param logLevel lowest level of events that are logged
 * @param processorPercent processor time that the instance may use, in percent of a core
 * @param maxPiecesPerRequest maximum number of pieces of a request, all stages together
 * @param endpointRules rules on sending requests to replicas
 * @param memory memory that the process may use
 */
public record ForwardingSettings(
        String instance,
        String dataCentre,
        HostPort callers,
        HostPort readiness,
        HostPort metrics,
        HostPort peerLink,
        HostPort relay,
        HostPort store,
        int eventLoops,
        long drainTimeoutMillis,
        long maxRevokedKeyMillis,
        RetryLimits retryLimits,
        long leaseMillis,
        LogEvent.Level logLevel,
        int processorPercent,
        int maxPiecesPerRequest,
        EndpointRules endpointRules,
        MemoryLimits memory) {

    /** Number of pieces that a request may have unless the settings state another one. */
    public static final int DEFAULT_MAX_PIECES_PER_REQUEST = 1_000;

    /**
     * Rules that a deployment sets on sending requests to replicas.
     *
     * @param evacuationLimitMillis time after which nothing may reach an evacuated data centre, in
     *     milliseconds; 0 if data centres are not evacuated
     * @param coldRate limit of the rate at cold replicas, empty if there is none
     * @param pace whether replicas get as much as their answers show that they carry
     */
    public record EndpointRules(
            long evacuationLimitMillis, Optional<ColdRate> coldRate, boolean pace) {

        /** No rules. */
        public static final EndpointRules NONE = new EndpointRules(0, Optional.empty(), false);

        public boolean evacuatesDataCentres() {
            return evacuationLimitMillis > 0;
        }
    }

    /**
     * Limit of the requests that all instances together send to a cold replica in a second: the
     * rate that its service states, times a factor, plus a slack.
     */
    public record ColdRate(double factor, double slack) {}

    /**
     * Memory that the process may use.
     *
     * @param limitBytes memory of the machine, 0 if it is not limited
     * @param reserveBytes part of it that is kept for everything but traffic
     */
    public record MemoryLimits(long limitBytes, long reserveBytes) {

        /** No limit. */
        public static final MemoryLimits NONE = new MemoryLimits(0, 0);
    }

    /**
     * Limits of retries.
     *
     * @param ratio retries allowed per request of a service
     * @param windowMillis length of the time window in which requests and retries are counted
     * @param slack retries allowed per time window in addition to the ratio
     */
    public record RetryLimits(double ratio, long windowMillis, double slack) {}
}
