package org.sequoiaspindle.core.coordination.routing;

import org.sequoiaspindle.core.coordination.routing.CallReport.EndpointLoad;
import org.sequoiaspindle.core.coordination.routing.EndpointState.Health;

/**
 * Learns slowness with an average that rises fast and falls slowly, ejects endpoints that fail or
 * stall, and adapts the limit of calls (additive increase, multiplicative decrease).
 */
public final class AdaptiveHealth implements HealthRule {

    private static final double RISE = 0.5;
    private static final double FALL = 0.1;
    private static final double MAX_SLOWNESS = 20;
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_MS = 1_000;
    private static final int MAX_DOUBLINGS = 5;
    private static final double LIMIT_DECREASE = 0.95;
    private static final double LIMIT_INCREASE = 0.25;
    private static final double REFUSAL_DECREASE = 0.7;

    /** Share of an endpoint's slots that may wait in it before it counts as overloaded. */
    private static final double TOLERATED_QUEUE = 0.25;

    /** Below this age a call says nothing about an endpoint's slowness. */
    private static final long MIN_SLOW_MS = 50;

    @Override
    public EndpointState after(
            GroupState group,
            EndpointState endpoint,
            RunningCall call,
            CallReport report,
            long now) {
        EndpointState seen =
                report.load().map(load -> endpoint.withLoad(load, now)).getOrElse(endpoint);
        return switch (report.kind()) {
            case COMPLETED -> completed(group, adapted(seen, report), call, report, now);
            case REFUSED -> seen.withLimit(Math.max(1, seen.limit() * REFUSAL_DECREASE));
            case NOT_SENT -> ejected(group, seen, now);
            case FAILED, UNKNOWN -> failed(group, seen, now);
            case CANCELLED -> cancelled(seen, call, now);
        };
    }

    private static EndpointState completed(
            GroupState group,
            EndpointState endpoint,
            RunningCall call,
            CallReport report,
            long now) {
        double ratio = ratio(report.serviceMs(), call.expectedMs());
        EndpointState measured = endpoint.withSlowness(moved(endpoint.slowness(), ratio));
        if (ratio >= Room.EJECTION_RATIO && measured.slowness() >= Room.EJECTION_RATIO) {
            return ejected(group, measured, now);
        }
        if (endpoint.health().isEjected() && ratio < Room.EJECTION_RATIO / 2) {
            return measured.withSlowness(Math.min(measured.slowness(), ratio))
                    .withHealth(0, Health.GOOD);
        }
        return measured.withHealth(0, measured.health());
    }

    private static EndpointState cancelled(EndpointState endpoint, RunningCall call, long now) {
        double atLeast = ratio(now - call.startedAt(), call.expectedMs());
        return atLeast > endpoint.slowness()
                ? endpoint.withSlowness(moved(endpoint.slowness(), atLeast))
                : endpoint;
    }

    private static EndpointState failed(GroupState group, EndpointState endpoint, long now) {
        int failures = endpoint.failures() + 1;
        if (failures >= FAILURES_TO_EJECT || endpoint.health().isEjected()) {
            return ejected(group, endpoint, now);
        }
        return endpoint.withHealth(failures, endpoint.health());
    }

    private static EndpointState ejected(GroupState group, EndpointState endpoint, long now) {
        boolean again = endpoint.health().isEjected();
        if (!again && !Room.mayEject(group)) {
            return endpoint.withHealth(endpoint.failures() + 1, endpoint.health());
        }
        int ejections = endpoint.health().ejections() + 1;
        long duration = FIRST_EJECTION_MS << Math.min(MAX_DOUBLINGS, ejections - 1);
        return endpoint.withHealth(0, new Health(now + duration, ejections));
    }

    private static EndpointState adapted(EndpointState endpoint, CallReport report) {
        return report.load()
                .map(load -> endpoint.withLimit(limit(endpoint, load)))
                .getOrElse(endpoint);
    }

    /**
     * The limit never falls below the fair share: the shares of all instances add up to the slots,
     * so a lower limit would leave slots idle. Load reports lag, so one report must not lower it
     * more than once; the step is small instead.
     */
    private static double limit(EndpointState endpoint, EndpointLoad load) {
        if (load.queued() > load.slots() * TOLERATED_QUEUE) {
            return Math.max(endpoint.fairLimit(), endpoint.limit() * LIMIT_DECREASE);
        }
        boolean bounded = endpoint.inFlight() + 1 >= Math.floor(endpoint.limit());
        if (!bounded || load.running() >= load.slots()) {
            return endpoint.limit();
        }
        double raised = endpoint.limit() + LIMIT_INCREASE / Math.max(1, endpoint.limit());
        return Math.min(endpoint.endpoint().slots(), raised);
    }

    private static double moved(double average, double ratio) {
        double gain = ratio > average ? RISE : FALL;
        return average + gain * (Math.min(ratio, MAX_SLOWNESS) - average);
    }

    private static double ratio(long actualMs, long expectedMs) {
        return actualMs < MIN_SLOW_MS ? 1 : (double) actualMs / Math.max(1, expectedMs);
    }
}
