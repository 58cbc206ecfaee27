package org.sequoiaspindle.core.coordination.routing;

import org.sequoiaspindle.core.coordination.routing.CallReport.EndpointLoad;
import org.sequoiaspindle.core.coordination.routing.EndpointState.Health;

/**
 * Tracks how slow each endpoint is with an average that rises faster than it falls, ejects
 * endpoints that fail or stall, and adapts the concurrency limit (additive increase, multiplicative
 * decrease).
 */
public final class AdaptiveHealth implements HealthRule {

    private static final double GAIN_UPWARD = 0.5;
    private static final double GAIN_DOWNWARD = 0.1;
    private static final double MAX_SLOWNESS = 20;
    private static final int FAILURES_TO_EJECT = 3;
    private static final long BASE_EJECTION_MS = 1_000;
    private static final int MAX_EJECTION_DOUBLINGS = 5;
    private static final double OVERLOAD_LIMIT_FACTOR = 0.95;
    private static final double LIMIT_INCREASE = 0.25;
    private static final double REFUSAL_LIMIT_FACTOR = 0.7;

    /**
     * Queue length, as a share of the endpoint's slots, above which the endpoint counts as
     * overloaded.
     */
    private static final double OVERLOAD_QUEUE_SHARE = 0.25;

    /** Calls that took less time than this count as on time, whatever the prediction was. */
    private static final long MIN_SLOW_CALL_MS = 50;

    @Override
    public EndpointState update(
            GroupState group,
            EndpointState endpoint,
            RunningCall call,
            CallReport report,
            long now) {
        EndpointState withReportedLoad =
                report.load().map(load -> endpoint.withLoad(load, now)).getOrElse(endpoint);
        return switch (report.kind()) {
            case COMPLETED ->
                    afterCompletion(
                            group, withAdaptedLimit(withReportedLoad, report), call, report, now);
            case REFUSED ->
                    withReportedLoad.withLimit(
                            Math.max(1, withReportedLoad.limit() * REFUSAL_LIMIT_FACTOR));
            case NOT_SENT -> ejectIfAllowed(group, withReportedLoad, now);
            case FAILED, UNKNOWN -> afterFailure(group, withReportedLoad, now);
            case CANCELLED -> afterCancellation(withReportedLoad, call, now);
        };
    }

    private static EndpointState afterCompletion(
            GroupState group,
            EndpointState endpoint,
            RunningCall call,
            CallReport report,
            long now) {
        double slownessRatio = slownessRatio(report.serviceMs(), call.expectedMs());
        EndpointState updatedEndpoint =
                endpoint.withSlowness(movingAverage(endpoint.slowness(), slownessRatio));
        if (slownessRatio >= CapacityRule.EJECTION_RATIO
                && updatedEndpoint.slowness() >= CapacityRule.EJECTION_RATIO) {
            return ejectIfAllowed(group, updatedEndpoint, now);
        }
        if (endpoint.health().isEjected() && slownessRatio < CapacityRule.EJECTION_RATIO / 2) {
            return updatedEndpoint
                    .withSlowness(Math.min(updatedEndpoint.slowness(), slownessRatio))
                    .withHealth(0, Health.NOT_EJECTED);
        }
        return updatedEndpoint.withHealth(0, updatedEndpoint.health());
    }

    private static EndpointState afterCancellation(
            EndpointState endpoint, RunningCall call, long now) {
        double minRatio = slownessRatio(now - call.startedAt(), call.expectedMs());
        return minRatio > endpoint.slowness()
                ? endpoint.withSlowness(movingAverage(endpoint.slowness(), minRatio))
                : endpoint;
    }

    private static EndpointState afterFailure(GroupState group, EndpointState endpoint, long now) {
        int consecutiveFailures = endpoint.consecutiveFailures() + 1;
        if (consecutiveFailures >= FAILURES_TO_EJECT || endpoint.health().isEjected()) {
            return ejectIfAllowed(group, endpoint, now);
        }
        return endpoint.withHealth(consecutiveFailures, endpoint.health());
    }

    private static EndpointState ejectIfAllowed(
            GroupState group, EndpointState endpoint, long now) {
        boolean isAlreadyEjected = endpoint.health().isEjected();
        if (!isAlreadyEjected && !CapacityRule.mayEject(group)) {
            return endpoint.withHealth(endpoint.consecutiveFailures() + 1, endpoint.health());
        }
        int consecutiveEjections = endpoint.health().consecutiveEjections() + 1;
        long durationMs =
                BASE_EJECTION_MS << Math.min(MAX_EJECTION_DOUBLINGS, consecutiveEjections - 1);
        return endpoint.withHealth(0, new Health(now + durationMs, consecutiveEjections));
    }

    private static EndpointState withAdaptedLimit(EndpointState endpoint, CallReport report) {
        return report.load()
                .map(load -> endpoint.withLimit(limit(endpoint, load)))
                .getOrElse(endpoint);
    }

    /**
     * Returns the limit adapted to a load report. A reported overload does not reduce the limit
     * below the fair share: the shares of all instances add up to the slots, so a lower limit would
     * leave slots idle. Several calls in a row may carry the same outdated load report, so each
     * decrease is small.
     */
    private static double limit(EndpointState endpoint, EndpointLoad load) {
        if (load.queued() > load.slots() * OVERLOAD_QUEUE_SHARE) {
            return Math.max(endpoint.fairLimit(), endpoint.limit() * OVERLOAD_LIMIT_FACTOR);
        }
        boolean limitReached = endpoint.inFlight() + 1 >= Math.floor(endpoint.limit());
        if (!limitReached || load.running() >= load.slots()) {
            return endpoint.limit();
        }
        double raisedLimit = endpoint.limit() + LIMIT_INCREASE / Math.max(1, endpoint.limit());
        return Math.min(endpoint.endpoint().slots(), raisedLimit);
    }

    private static double movingAverage(double average, double slownessRatio) {
        double gain = slownessRatio > average ? GAIN_UPWARD : GAIN_DOWNWARD;
        return average + gain * (Math.min(slownessRatio, MAX_SLOWNESS) - average);
    }

    private static double slownessRatio(long actualMs, long expectedMs) {
        return actualMs < MIN_SLOW_CALL_MS ? 1 : (double) actualMs / Math.max(1, expectedMs);
    }
}
